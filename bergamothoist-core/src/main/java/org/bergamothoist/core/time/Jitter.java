package org.bergamothoist.core.time;

import java.time.Duration;
import java.util.function.DoubleSupplier;

/** Spreads delays, so that callers or daemons do not come at once. */
public final class Jitter {

    private Jitter() {}

    /**
     * Returns a delay.
     *
     * @param least shortest delay
     * @param range longest time that is added, to the millisecond
     * @param random draws numbers from 0 to 1
     */
    public static Duration delay(Duration least, Duration range, DoubleSupplier random) {
        return least.plusMillis(Math.round(range.toMillis() * random.getAsDouble()));
    }
}
