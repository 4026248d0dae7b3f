package org.bergamothoist.core.limit;

import java.util.HashMap;
import java.util.Map;

/** One retry budget per service, so that a failing service exhausts only its own. */
public final class RetryBudgets {

    private final double share;
    private final int reserve;
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    /**
     * Creates budgets that start with a full reserve.
     *
     * @param share retries earned by each request
     * @param reserve maximum number of unused retries that are kept for each service
     */
    public RetryBudgets(double share, int reserve) {
        this.share = share;
        this.reserve = reserve;
    }

    /** Returns the budget of a service. */
    public RetryBudget of(String service) {
        return budgets.computeIfAbsent(service, name -> new RetryBudget(share, reserve));
    }
}
