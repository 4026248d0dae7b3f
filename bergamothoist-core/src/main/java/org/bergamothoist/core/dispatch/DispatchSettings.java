package org.bergamothoist.core.dispatch;

import java.time.Duration;

/**
 * Limits for sending requests to targets.
 *
 * @param maximumAttempts maximum number of attempts for a request
 * @param firstTokenTimeout longest time from dispatch to the first token, or to the response head
 *     of a service
 * @param stallTimeout longest time between pieces while the caller has open demand
 * @param resumeTokenLifetime time for which a resume token is valid
 * @param engineWaitTimeout longest wait for an engine that accepts the request
 */
public record DispatchSettings(
        int maximumAttempts,
        Duration firstTokenTimeout,
        Duration stallTimeout,
        Duration resumeTokenLifetime,
        Duration engineWaitTimeout) {

    /** Returns the default limits. */
    public static DispatchSettings defaults() {
        return new DispatchSettings(
                6,
                Duration.ofSeconds(20),
                Duration.ofSeconds(10),
                Duration.ofMinutes(5),
                Duration.ofSeconds(30));
    }
}
