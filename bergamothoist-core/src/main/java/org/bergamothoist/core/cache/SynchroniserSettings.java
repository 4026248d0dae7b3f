package org.bergamothoist.core.cache;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of a {@link CacheSynchroniser}.
 *
 * @param interval time between two polls of a target
 * @param jitter maximum random change of the interval, as a fraction of it, from 0 to below 1
 * @param polledTargets maximum number of targets that this daemon polls
 * @param callTimeout timeout of a call
 */
public record SynchroniserSettings(
        Duration interval, double jitter, int polledTargets, Duration callTimeout) {

    public SynchroniserSettings {
        Objects.requireNonNull(interval);
        Objects.requireNonNull(callTimeout);
        if (interval.isZero() || interval.isNegative() || jitter < 0 || jitter >= 1) {
            throw new IllegalArgumentException(
                    "interval or jitter is out of range: " + interval + ", " + jitter);
        }
    }

    /**
     * Returns the settings for deployments with at most 16 engines, so that each daemon polls all
     * of them.
     */
    public static SynchroniserSettings standard() {
        return new SynchroniserSettings(Duration.ofMillis(500), 0.2, 16, Duration.ofSeconds(2));
    }
}
