package org.bergamothoist.core.limit;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

/**
 * Decides when to hedge a request, that is, to start a second attempt in parallel to a slow first
 * one. Only idempotent requests without a first token are hedged. Each hedge is charged to the
 * retry budget, and the tokens of the losing attempt count as wasted.
 */
public final class HedgePolicy {

    /** Quantile of the observed times to first token from which an attempt counts as slow. */
    public static final double STANDARD_QUANTILE = 0.99;

    /** Number of observations kept; at 83 requests per second they cover about 12 s. */
    private static final int MAXIMUM_OBSERVATIONS = 1024;

    /** Number of observations from which the quantile is used. */
    private static final int MINIMUM_OBSERVATIONS = 100;

    /** Number of observations between two computations of the quantile. */
    private static final int REFRESH_INTERVAL = 64;

    private final double quantile;
    private final Duration minimumDelay;
    private final RetryBudget budget;
    private final long[] firstTokenMilliseconds = new long[MAXIMUM_OBSERVATIONS];
    private long observationCount;
    private long quantileMilliseconds;
    private long wastedTokens;
    private long hedges;

    /**
     * Creates a policy.
     *
     * @param quantile quantile of the times to first token, between 0 and 1 exclusive
     * @param minimumDelay shortest time after dispatch at which to hedge
     * @param budget budget that hedges share with retries
     */
    public HedgePolicy(double quantile, Duration minimumDelay, RetryBudget budget) {
        if (quantile <= 0 || quantile >= 1) {
            throw new IllegalArgumentException("quantile out of range: " + quantile);
        }
        this.quantile = quantile;
        this.minimumDelay = minimumDelay;
        this.budget = budget;
    }

    /** Records the time from dispatch to first token of an attempt. */
    public void onFirstToken(Duration sinceDispatch) {
        firstTokenMilliseconds[(int) (observationCount % MAXIMUM_OBSERVATIONS)] =
                sinceDispatch.toMillis();
        observationCount++;
        if (observationCount == MINIMUM_OBSERVATIONS
                || observationCount > MINIMUM_OBSERVATIONS
                        && observationCount % REFRESH_INTERVAL == 0) {
            refreshQuantile();
        }
    }

    private void refreshQuantile() {
        long[] sorted =
                Arrays.copyOf(
                        firstTokenMilliseconds,
                        (int) Math.min(observationCount, MAXIMUM_OBSERVATIONS));
        Arrays.sort(sorted);
        quantileMilliseconds = sorted[(int) (quantile * (sorted.length - 1))];
    }

    /**
     * Returns the time after dispatch at which to hedge the request, or empty if it must not be
     * hedged.
     */
    public Optional<Duration> hedgeDelay(boolean idempotent) {
        if (!idempotent || observationCount < MINIMUM_OBSERVATIONS) {
            return Optional.empty();
        }
        Duration delay = Duration.ofMillis(quantileMilliseconds);
        return Optional.of(delay.compareTo(minimumDelay) < 0 ? minimumDelay : delay);
    }

    /**
     * Returns whether a hedge may start now, and charges it to the budget if so. A request that is
     * not idempotent or has its first token is never hedged.
     */
    public boolean tryHedge(boolean idempotent, boolean firstTokenSeen) {
        if (!idempotent || firstTokenSeen || !budget.tryTake()) {
            return false;
        }
        hedges++;
        return true;
    }

    /** Adds the tokens that a losing attempt computed. */
    public void addWastedTokens(long computedTokens) {
        wastedTokens += computedTokens;
    }

    /** Returns the number of started hedges. */
    public long hedges() {
        return hedges;
    }

    /** Returns the number of tokens that losing attempts computed. */
    public long wastedTokens() {
        return wastedTokens;
    }
}
