package org.bergamothoist.core.placement;

import java.time.InstantSource;

/** Estimates the rate of events from an exponentially decaying count. */
final class DecayingRate {

    /** Time constant of the decay; at 1 event per second the relative error is about a third. */
    private static final double TIME_CONSTANT_SECONDS = 10.0;

    private static final double MILLISECONDS_PER_SECOND = 1000.0;

    private final InstantSource clock;
    private double decayedCount;
    private long updatedAt;

    DecayingRate(InstantSource clock) {
        this.clock = clock;
        this.updatedAt = clock.millis();
    }

    void recordEvent() {
        decay();
        decayedCount++;
    }

    double perSecond() {
        decay();
        return decayedCount / TIME_CONSTANT_SECONDS;
    }

    private void decay() {
        long now = clock.millis();
        if (now != updatedAt) {
            decayedCount *=
                    Math.exp((updatedAt - now) / MILLISECONDS_PER_SECOND / TIME_CONSTANT_SECONDS);
            updatedAt = now;
        }
    }
}
