package org.bergamothoist.core.placement;

import java.time.Duration;

/**
 * What a daemon assumes of engines when it predicts delays.
 *
 * @param prefillTokensPerSecond prompt tokens that an engine computes in a second
 * @param streamsPerTarget streams that an engine runs at the same time
 * @param streamDuration usual duration of a stream
 * @param expiry age at which reports and heartbeats no longer count
 */
public record LoadSettings(
        int prefillTokensPerSecond,
        int streamsPerTarget,
        Duration streamDuration,
        Duration expiry) {

    public LoadSettings {
        if (prefillTokensPerSecond < 1 || streamsPerTarget < 1) {
            throw new IllegalArgumentException("engine capacities must be positive");
        }
    }

    /** Returns the settings for engines of the usual size. */
    public static LoadSettings standard() {
        return new LoadSettings(40_000, 64, Duration.ofSeconds(10), Duration.ofSeconds(3));
    }
}
