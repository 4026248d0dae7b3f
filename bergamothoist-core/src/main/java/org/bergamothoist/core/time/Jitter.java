package org.bergamothoist.core.time;

import java.time.Duration;
import java.util.function.DoubleSupplier;

/** Randomises delays, so that callers or daemons do not act at the same time. */
public final class Jitter {

    private Jitter() {}

    /**
     * Returns a random delay.
     *
     * @param minimum shortest delay
     * @param range maximum time added to the minimum; rounded to milliseconds
     * @param random supplies uniformly distributed numbers from 0 to 1
     */
    public static Duration delay(Duration minimum, Duration range, DoubleSupplier random) {
        return minimum.plusMillis(Math.round(range.toMillis() * random.getAsDouble()));
    }
}
