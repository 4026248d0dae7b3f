package org.bergamothoist.core.limit;

import java.util.HashMap;
import java.util.Map;

/** One retry budget for each service, so that a failing service uses up only its own. */
public final class RetryBudgets {

    private final double share;
    private final int reserve;
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    /**
     * Creates budgets whose reserves are full.
     *
     * @param share retries earned by each request
     * @param reserve most retries saved up for a service
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
