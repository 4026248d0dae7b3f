package org.bergamothoist.core.time;

import java.time.Instant;
import java.time.InstantSource;
import java.util.function.LongSupplier;

/**
 * A wall clock that never goes back and advances at least as fast as time passes, so that ages
 * computed from it are never too small.
 *
 * <p>It advances with the system's elapsed time. If the system clock is set back, the change is
 * ignored; if it is ahead by more than {@value #TOLERANCE_MILLISECONDS} ms, this clock jumps to it,
 * which increases ages. Thread-safe.
 */
public final class MonotonicClock implements InstantSource {

    private static final long TOLERANCE_MILLISECONDS = 1_000;

    private final InstantSource wallClock;
    private final LongSupplier elapsedNanoseconds;
    private Instant anchor;
    private long anchorNanoseconds;

    /** Creates a clock based on the system's clocks. */
    public MonotonicClock() {
        this(InstantSource.system(), System::nanoTime);
    }

    /**
     * Returns a clock that starts at the system clock's time and ignores all of its changes from
     * then on.
     */
    public static MonotonicClock withoutSystemClock() {
        InstantSource start = InstantSource.fixed(InstantSource.system().instant());
        return new MonotonicClock(start, System::nanoTime);
    }

    /**
     * Creates a clock.
     *
     * @param wallClock clock that may be set
     * @param elapsedNanoseconds monotonic counter of nanoseconds with an arbitrary origin
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
        Instant monotonic = anchor.plusNanos(elapsed - anchorNanoseconds);
        Instant wall = wallClock.instant();
        if (wall.isAfter(monotonic.plusMillis(TOLERANCE_MILLISECONDS))) {
            anchor = wall;
            anchorNanoseconds = elapsed;
            return wall;
        }
        return monotonic;
    }
}
