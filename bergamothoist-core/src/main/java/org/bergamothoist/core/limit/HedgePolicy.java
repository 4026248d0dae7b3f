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
    private static final int OBSERVATIONS = 1024;

    /** Observations before the quantile is relied on. */
    private static final int MINIMUM_OBSERVATIONS = 100;

    /** Observations after which the quantile is computed anew. */
    private static final int REFRESH = 64;

    private final double quantile;
    private final Duration minimumDelay;
    private final RetryBudget budget;
    private final long[] observed = new long[OBSERVATIONS];
    private long count;
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
        observed[(int) (count % OBSERVATIONS)] = sinceDispatch.toMillis();
        count++;
        if (count == MINIMUM_OBSERVATIONS || count > MINIMUM_OBSERVATIONS && count % REFRESH == 0) {
            refresh();
        }
    }

    private void refresh() {
        long[] sorted = Arrays.copyOf(observed, (int) Math.min(count, OBSERVATIONS));
        Arrays.sort(sorted);
        quantileMilliseconds = sorted[(int) (quantile * (sorted.length - 1))];
    }

    /** Returns the time after dispatch at which to hedge the request, or empty for never. */
    public Optional<Duration> delay(boolean idempotent) {
        if (!idempotent || count < MINIMUM_OBSERVATIONS) {
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
    public void onLoser(long computedTokens) {
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
