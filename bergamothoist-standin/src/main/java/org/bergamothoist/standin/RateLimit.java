package org.bergamothoist.standin;

import java.time.InstantSource;

/** Allows a number of calls in each second of the clock. */
final class RateLimit {

    private final InstantSource clock;
    private final int callsPerSecond;
    private long second;
    private int calls;

    RateLimit(InstantSource clock, int callsPerSecond) {
        this.clock = clock;
        this.callsPerSecond = callsPerSecond;
    }

    /** Counts a call and returns whether it is allowed. */
    boolean tryAcquire() {
        long now = clock.instant().getEpochSecond();
        if (now != second) {
            second = now;
            calls = 0;
        }
        if (calls >= callsPerSecond) {
            return false;
        }
        calls++;
        return true;
    }
}
