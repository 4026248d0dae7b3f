package org.bergamothoist.core.limit;

/**
 * Limits retries and hedges to a fraction of the requests, so that failures do not multiply the
 * load.
 */
public final class RetryBudget {

    /**
     * Retries earned by each request: the largest fraction of the requests that may be repeated.
     */
    public static final double STANDARD_SHARE = 0.1;

    /**
     * Maximum number of unused retries that are kept, so that failures are retried even after few
     * requests.
     */
    public static final int STANDARD_RESERVE = 10;

    /** Tolerance for rounding errors in the sum of earned fractions. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final double share;
    private double reserve;
    private double availableRetries;

    /**
     * Creates a budget whose reserve is full.
     *
     * @param share retries earned by each request
     * @param reserve maximum number of unused retries that are kept
     */
    public RetryBudget(double share, int reserve) {
        if (share < 0 || share > 1 || reserve < 0) {
            throw new IllegalArgumentException(
                    "retry budget is out of range: share " + share + ", reserve " + reserve);
        }
        this.share = share;
        this.reserve = reserve;
        this.availableRetries = reserve;
    }

    /** Changes the maximum number of unused retries; retries beyond it are lost. */
    void limitReserve(int maximum) {
        reserve = maximum;
        availableRetries = Math.min(availableRetries, maximum);
    }

    /** Creates a budget with the standard share and reserve. */
    public static RetryBudget standard() {
        return new RetryBudget(STANDARD_SHARE, STANDARD_RESERVE);
    }

    /** Earns the share of a new request; called for first attempts only. */
    public void onRequest() {
        availableRetries = Math.min(reserve, availableRetries + share);
    }

    /**
     * Takes one retry or hedge from the budget.
     *
     * @return false if the budget is exhausted
     */
    public boolean tryTake() {
        return tryTake(0);
    }

    /**
     * Takes one retry or hedge if enough remain for more important ones.
     *
     * @param remaining number of retries that must remain afterwards
     * @return false if the budget does not suffice
     */
    public boolean tryTake(int remaining) {
        if (availableRetries + ROUNDING_TOLERANCE < 1 + remaining) {
            return false;
        }
        availableRetries = Math.max(0, availableRetries - 1);
        return true;
    }
}
