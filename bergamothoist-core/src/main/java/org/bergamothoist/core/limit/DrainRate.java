package org.bergamothoist.core.limit;

import java.time.Instant;

/**
 * Measures the rate, in tokens or other units of work per second, at which a queue drains while it
 * is not empty.
 */
public final class DrainRate {

    private static final double MILLISECONDS_PER_SECOND = 1000.0;

    /** Time constant of the moving average; a shorter one would follow single long prompts. */
    private static final double TIME_CONSTANT_SECONDS = 3.0;

    /** Backlogged time in seconds that must be observed before the rate is used. */
    private static final double MINIMUM_BACKLOGGED_SECONDS = 1.0;

    private double drained;
    private double backloggedSeconds;
    private Instant updatedAt;

    /** Creates a measurement that begins at the given time. */
    public DrainRate(Instant now) {
        this.updatedAt = now;
    }

    /**
     * Advances the average to the given time. The time since the last call counts only if the queue
     * was backlogged.
     */
    public void advance(Instant now, boolean backlogged) {
        double elapsed = (now.toEpochMilli() - updatedAt.toEpochMilli()) / MILLISECONDS_PER_SECOND;
        updatedAt = now;
        if (!backlogged || elapsed <= 0) {
            return;
        }
        double decay = Math.exp(-elapsed / TIME_CONSTANT_SECONDS);
        drained *= decay;
        backloggedSeconds = backloggedSeconds * decay + elapsed;
    }

    /** Records work that has left the queue. */
    public void addDrained(long amount) {
        drained += amount;
    }

    /**
     * Returns the predicted seconds in which the given amount of work drains, 0 if the rate is not
     * known.
     */
    public double secondsFor(double amount) {
        return backloggedSeconds < MINIMUM_BACKLOGGED_SECONDS || drained <= 0
                ? 0
                : amount * backloggedSeconds / drained;
    }
}
