package org.bergamothoist.core.limit;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

/**
 * Decides when a second attempt of a request is started beside a slow first one. Only idempotent
 * requests without a first token are hedged; each hedge is taken from the retry budget, and the
 * loser's tokens count as waste.
 */
public final class HedgePolicy {

    /** Quantile of the observed first-token times after which a request counts as slow. */
    public static final double STANDARD_QUANTILE = 0.99;

    /** Observations kept; at 83 requests a second they cover about 12 s. */
    private static final int MAXIMUM_OBSERVATIONS = 1024;

    /** Observations before the quantile is relied on. */
    private static final int MINIMUM_OBSERVATIONS = 100;

    /** Observations after which the quantile is computed anew. */
    private static final int REFRESH_INTERVAL = 64;

    private final double quantile;
    private final Duration minimumDelay;
    private final RetryBudget budget;
    private final long[] firstTokenMilliseconds = new long[MAXIMUM_OBSERVATIONS];
    private long observationCount;
    private long quantileMilliseconds;
    private long wastedTokens;
    private long hedges;

    /** Creates a policy that shares the budget with retries. */
    public HedgePolicy(double quantile, Duration minimumDelay, RetryBudget budget) {
        if (quantile <= 0 || quantile >= 1) {
            throw new IllegalArgumentException("quantile out of range: " + quantile);
        }
        this.quantile = quantile;
        this.minimumDelay = minimumDelay;
        this.budget = budget;
    }

    /** Takes the time from dispatch to first token of an attempt. */
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

    /** Returns the time after dispatch at which to hedge the request, or empty for never. */
    public Optional<Duration> hedgeDelay(boolean idempotent) {
        if (!idempotent || observationCount < MINIMUM_OBSERVATIONS) {
            return Optional.empty();
        }
        Duration delay = Duration.ofMillis(quantileMilliseconds);
        return Optional.of(delay.compareTo(minimumDelay) < 0 ? minimumDelay : delay);
    }

    /** Asks to start a hedge now; the answer is no after the first token or beyond the budget. */
    public boolean tryHedge(boolean idempotent, boolean firstTokenSeen) {
        if (!idempotent || firstTokenSeen || !budget.tryTake()) {
            return false;
        }
        hedges++;
        return true;
    }

    /** Counts the tokens that the losing attempt computed. */
    public void addWastedTokens(long computedTokens) {
        wastedTokens += computedTokens;
    }

    /** Returns the number of hedges started. */
    public long hedges() {
        return hedges;
    }

    /** Returns the tokens that losing attempts computed. */
    public long wastedTokens() {
        return wastedTokens;
    }
}
