package org.bergamothoist.core.timeline;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;

/**
 * Issues timestamps that follow the wall clock and are greater than every timestamp issued or
 * accepted before. Thread-safe.
 */
public final class HybridLogicalClock {

    /**
     * How far a remote timestamp may be ahead of the wall clock. Without a limit, one daemon with a
     * wrong clock would move the timestamps of all other daemons into the future.
     */
    public static final Duration MAXIMUM_LEAD = Duration.ofHours(1);

    private final InstantSource wallClock;
    private Timestamp last = new Timestamp(0, 0);

    /** Creates a clock that follows the wall clock. */
    public HybridLogicalClock(InstantSource wallClock) {
        this.wallClock = Objects.requireNonNull(wallClock);
    }

    /** Returns a timestamp greater than all issued or accepted before. */
    public synchronized Timestamp next() {
        long wall = wallClock.millis();
        last = wall > last.milliseconds() ? new Timestamp(wall, 0) : successor(last);
        return last;
    }

    /**
     * Advances the clock to a received timestamp, so that later timestamps are greater.
     *
     * @return false if the timestamp was rejected as too far ahead of the wall clock
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
