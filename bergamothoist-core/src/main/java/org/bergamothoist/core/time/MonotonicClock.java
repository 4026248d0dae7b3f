package org.bergamothoist.core.time;

import java.time.Instant;
import java.time.InstantSource;
import java.util.function.LongSupplier;

/**
 * A wall clock that never steps back and whose differences are never smaller than the time that has
 * passed, so that ages computed from it are not too young.
 *
 * <p>It advances with the system's elapsed time. A system clock that is set back is ignored; one
 * that is ahead by more than {@value #TOLERANCE_MILLISECONDS} ms is followed, which makes ages
 * larger. Safe for use by several threads.
 */
public final class MonotonicClock implements InstantSource {

    private static final long TOLERANCE_MILLISECONDS = 1_000;

    private final InstantSource wallClock;
    private final LongSupplier elapsedNanoseconds;
    private Instant anchor;
    private long anchorNanoseconds;

    /** Creates a clock of the running process. */
    public MonotonicClock() {
        this(InstantSource.system(), System::nanoTime);
    }

    /**
     * Creates a clock.
     *
     * @param elapsedNanoseconds counts nanoseconds from an arbitrary origin, never back
     */
    public MonotonicClock(InstantSource wallClock, LongSupplier elapsedNanoseconds) {
        this.wallClock = wallClock;
        this.elapsedNanoseconds = elapsedNanoseconds;
        this.anchor = wallClock.instant();
        this.anchorNanoseconds = elapsedNanoseconds.getAsLong();
    }

    @Override
    public synchronized Instant instant() {
        long elapsed = elapsedNanoseconds.getAsLong();
        Instant steady = anchor.plusNanos(elapsed - anchorNanoseconds);
        Instant wall = wallClock.instant();
        if (wall.isAfter(steady.plusMillis(TOLERANCE_MILLISECONDS))) {
            anchor = wall;
            anchorNanoseconds = elapsed;
            return wall;
        }
        return steady;
    }
}
