package org.bergamothoist.core.cache;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of a {@link CacheSynchroniser}.
 *
 * @param interval time between two rounds of calls to a target
 * @param jitter largest share of the interval that is added or taken off at random
 * @param polledTargets most targets that this daemon polls
 * @param callTimeout time after which an unanswered call is given up
 */
public record SynchroniserSettings(
        Duration interval, double jitter, int polledTargets, Duration callTimeout) {

    public SynchroniserSettings {
        Objects.requireNonNull(interval);
        Objects.requireNonNull(callTimeout);
        if (interval.isZero() || interval.isNegative() || jitter < 0 || jitter >= 1) {
            throw new IllegalArgumentException("interval or jitter out of range");
        }
    }

    /** Returns the settings for deployments in which each daemon polls all engines. */
    public static SynchroniserSettings standard() {
        return new SynchroniserSettings(Duration.ofMillis(500), 0.2, 16, Duration.ofSeconds(2));
    }
}
