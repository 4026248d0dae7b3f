package org.bergamothoist.core.admission;

import java.time.Duration;
import java.time.Instant;

/**
 * Assigns successive retry times to refused callers at the rate at which the backlog drains, so
 * that the first refused returns first and they do not return together.
 */
final class RetrySpread {

    /** Shortest retry time: a caller that returns at once finds the same backlog. */
    static final Duration MINIMUM = Duration.ofMillis(100);

    /** Clients honour a retry time of up to the time that they have left divided by this. */
    private static final int PARTS_OF_TIME_LEFT = 3;

    /** Number of callers over whom the retry times are spread while the drain rate is unknown. */
    private static final int CALLERS_WITHOUT_RATE = 64;

    private Instant next = Instant.EPOCH;

    /**
     * Returns the retry time of the next refused caller.
     *
     * @param excess time until the backlog is short enough for the request
     * @param drainTime time in which the backlog drains by the request's cost; zero if unknown
     * @param timeLeft time until the caller gives the request up
     */
    Duration next(Instant now, Duration excess, Duration drainTime, Duration timeLeft) {
        Duration longest = longer(MINIMUM, timeLeft.dividedBy(PARTS_OF_TIME_LEFT));
        Duration step = drainTime.isZero() ? longest.dividedBy(CALLERS_WITHOUT_RATE) : drainTime;
        Duration earliest = longer(MINIMUM, excess);
        Duration delay = longer(earliest, Duration.between(now, next));
        if (delay.compareTo(longest) > 0) {
            // The callers would not wait as long: the spread begins again in the later half.
            delay = longer(MINIMUM, longest.dividedBy(2));
        }
        next = now.plus(delay).plus(step);
        return delay;
    }

    private static Duration longer(Duration first, Duration second) {
        return first.compareTo(second) >= 0 ? first : second;
    }
}
