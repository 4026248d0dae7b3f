package org.bergamothoist.core.dispatch;

import java.time.Duration;

/**
 * Bounds of dispatches.
 *
 * @param maximumAttempts most dispatches of one request
 * @param firstPieceTimeout time for the first token after the dispatch
 * @param stallTimeout time without a piece while the caller waits for one
 * @param tokenLifetime validity of resume tokens
 * @param waitForEngine longest wait for an engine that may take the request
 */
public record DispatchSettings(
        int maximumAttempts,
        Duration firstPieceTimeout,
        Duration stallTimeout,
        Duration tokenLifetime,
        Duration waitForEngine) {

    /** Returns the default bounds. */
    public static DispatchSettings defaults() {
        return new DispatchSettings(
                6,
                Duration.ofSeconds(20),
                Duration.ofSeconds(10),
                Duration.ofMinutes(5),
                Duration.ofSeconds(30));
    }
}
