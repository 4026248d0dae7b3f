package org.bergamothoist.core.limit;

import java.time.Instant;

/** Measures the rate, in tokens per second, at which a queue drains while it is not empty. */
final class DrainRate {

    private static final double MILLISECONDS_PER_SECOND = 1000.0;

    /** Time constant of the moving average; a shorter one would follow single long prompts. */
    private static final double TIME_CONSTANT_SECONDS = 3.0;

    /** Backlogged time in seconds that must be observed before the rate is used. */
    private static final double MINIMUM_BACKLOGGED_SECONDS = 1.0;

    private double drainedTokens;
    private double backloggedSeconds;
    private Instant updatedAt;

    DrainRate(Instant now) {
        this.updatedAt = now;
    }

    /**
     * Advances the average to the given time. The time since the last call counts only if the queue
     * was backlogged.
     */
    void advance(Instant now, boolean backlogged) {
        double elapsed = (now.toEpochMilli() - updatedAt.toEpochMilli()) / MILLISECONDS_PER_SECOND;
        updatedAt = now;
        if (!backlogged || elapsed <= 0) {
            return;
        }
        double decay = Math.exp(-elapsed / TIME_CONSTANT_SECONDS);
        drainedTokens *= decay;
        backloggedSeconds = backloggedSeconds * decay + elapsed;
    }

    void addDrained(long amount) {
        drainedTokens += amount;
    }

    /**
     * Returns the predicted seconds in which the given number of tokens drains, 0 if the rate is
     * not known.
     */
    double secondsFor(double amount) {
        return backloggedSeconds < MINIMUM_BACKLOGGED_SECONDS || drainedTokens <= 0
                ? 0
                : amount * backloggedSeconds / drainedTokens;
    }
}
