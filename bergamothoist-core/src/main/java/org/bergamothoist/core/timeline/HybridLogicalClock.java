package org.bergamothoist.core.timeline;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;

/**
 * Issues stamps that follow the wall clock and are larger than every stamp issued or adopted
 * before. Safe for use by several threads.
 */
public final class HybridLogicalClock {

    /**
     * Largest lead of a remote stamp that is adopted. Without a bound, one daemon with a wrong wall
     * clock would carry every other daemon's stamps into the future.
     */
    public static final Duration MAXIMUM_LEAD = Duration.ofHours(1);

    private final InstantSource wallClock;
    private Timestamp last = new Timestamp(0, 0);

    public HybridLogicalClock(InstantSource wallClock) {
        this.wallClock = Objects.requireNonNull(wallClock);
    }

    /** Returns a stamp larger than all before. */
    public synchronized Timestamp next() {
        long wall = wallClock.millis();
        last = wall > last.milliseconds() ? new Timestamp(wall, 0) : successor(last);
        return last;
    }

    /**
     * Moves past a remote stamp.
     *
     * @return false if the stamp is too far ahead of the wall clock and was not adopted
     */
    public synchronized boolean observe(Timestamp remote) {
        if (remote.milliseconds() - wallClock.millis() > MAXIMUM_LEAD.toMillis()) {
            return false;
        }
        if (remote.compareTo(last) > 0) {
            last = remote;
        }
        return true;
    }

    private static Timestamp successor(Timestamp timestamp) {
        if (timestamp.counter() == Integer.MAX_VALUE) {
            return new Timestamp(timestamp.milliseconds() + 1, 0);
        }
        return new Timestamp(timestamp.milliseconds(), timestamp.counter() + 1);
    }
}
