package org.bergamothoist.measure;

import java.time.Duration;

/**
 * Capacities of a fake engine.
 *
 * @param prefillTokensPerSecond prompt tokens computed in a second by an engine without streams
 * @param streams streams that are generated at the same time
 * @param memoryBlocks blocks of the KV memory, for the cache and running streams together
 */
public record EngineProfile(int prefillTokensPerSecond, int streams, int memoryBlocks) {

    /** Tokens of a full cache block. */
    public static final int BLOCK_TOKENS = 4_000;

    /** Share of the prefill rate that a full batch of streams takes. */
    private static final double PREFILL_SLOWDOWN = 0.3;

    private static final double STEP_SECONDS_EMPTY = 0.020;
    private static final double STEP_SECONDS_BATCH = 0.018;

    /** Returns the seconds to compute the tokens beside the given number of streams. */
    double prefillSeconds(int tokens, int running) {
        double slowdown = 1 - PREFILL_SLOWDOWN * Math.min(1.0, (double) running / streams);
        return tokens / (prefillTokensPerSecond * slowdown);
    }

    /** Returns the seconds between two tokens of a stream beside the given number of streams. */
    double stepSeconds(int running) {
        return STEP_SECONDS_EMPTY + STEP_SECONDS_BATCH * running / streams;
    }

    /** Returns the usual duration of a stream of the given length in a full batch. */
    Duration streamDuration(int tokens) {
        return Duration.ofMillis(Math.round(tokens * stepSeconds(streams) * 1_000));
    }
}
