package org.bergamothoist.core.limit;

import java.time.Instant;

/** Measures the tokens a second that leave a queue while it is not empty. */
final class DrainRate {

    private static final double MILLISECONDS_PER_SECOND = 1000.0;

    /** Time constant of the average; shorter ones follow single long prompts. */
    private static final double TIME_CONSTANT_SECONDS = 3.0;

    /** Backlogged time before the rate is relied on. */
    private static final double MINIMUM_BACKLOGGED_SECONDS = 1.0;

    private double drainedTokens;
    private double backloggedSeconds;
    private Instant updatedAt;

    DrainRate(Instant now) {
        this.updatedAt = now;
    }

    /** Advances to now; the time since the last call counts only if there was a backlog. */
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

    /** Returns the predicted seconds until the tokens have left, 0 if the rate is not known. */
    double secondsFor(double amount) {
        return backloggedSeconds < MINIMUM_BACKLOGGED_SECONDS || drainedTokens <= 0
                ? 0
                : amount * backloggedSeconds / drainedTokens;
    }
}
