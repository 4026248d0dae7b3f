package org.bergamothoist.core.limit;

/** Limits retries and hedges to a share of the requests, so that failures do not multiply load. */
public final class RetryBudget {

    /** Share of the requests that may be repeated. */
    public static final double STANDARD_SHARE = 0.1;

    /** Most retries saved up, so that a failure after a quiet time is retried. */
    public static final int STANDARD_RESERVE = 10;

    /** Makes up for the rounding of sums of shares. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final double share;
    private final double reserve;
    private double availableRetries;

    /**
     * Creates a budget whose reserve is full.
     *
     * @param share retries earned by each request
     * @param reserve most retries saved up
     */
    public RetryBudget(double share, int reserve) {
        if (share < 0 || share > 1 || reserve < 0) {
            throw new IllegalArgumentException("retry budget out of range");
        }
        this.share = share;
        this.reserve = reserve;
        this.availableRetries = reserve;
    }

    /** Creates the standard budget. */
    public static RetryBudget standard() {
        return new RetryBudget(STANDARD_SHARE, STANDARD_RESERVE);
    }

    /** Counts a first attempt of a request. */
    public void onRequest() {
        availableRetries = Math.min(reserve, availableRetries + share);
    }

    /** Takes one retry or hedge from the budget; returns false if it is exhausted. */
    public boolean tryTake() {
        return tryTake(0);
    }

    /**
     * Takes one retry or hedge if enough are left for more important ones.
     *
     * @param kept retries that have to be left afterwards
     */
    public boolean tryTake(int remaining) {
        if (availableRetries + ROUNDING_TOLERANCE < 1 + remaining) {
            return false;
        }
        availableRetries = Math.max(0, availableRetries - 1);
        return true;
    }
}
