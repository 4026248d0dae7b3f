package org.bergamothoist.core.placement;

import java.time.Duration;

/**
 * Assumed capacity of engines, used to predict queueing delays.
 *
 * @param prefillTokensPerSecond prompt tokens that an engine computes per second
 * @param streamsPerTarget maximum number of concurrent streams of an engine
 * @param streamDuration typical duration of a stream
 * @param expiry age from which reports and heartbeats are ignored
 */
public record LoadSettings(
        int prefillTokensPerSecond,
        int streamsPerTarget,
        Duration streamDuration,
        Duration expiry) {

    public LoadSettings {
        if (prefillTokensPerSecond < 1 || streamsPerTarget < 1) {
            throw new IllegalArgumentException(
                    "engine capacities must be positive: "
                            + prefillTokensPerSecond
                            + " prefill tokens per second, "
                            + streamsPerTarget
                            + " streams per target");
        }
    }

    /** Returns the default settings. */
    public static LoadSettings standard() {
        return new LoadSettings(40_000, 64, Duration.ofSeconds(10), Duration.ofSeconds(3));
    }
}
