package org.bergamothoist.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/** One retry budget per service, so that a failing service exhausts only its own. */
public final class RetryBudgets {

    private final double share;
    private final IntSupplier reserve;
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    /**
     * Creates budgets that start with a full reserve.
     *
     * @param share retries earned by each request
     * @param reserve returns the maximum number of unused retries that are kept for each service;
     *     it may change with the number of daemons
     */
    public RetryBudgets(double share, IntSupplier reserve) {
        this.share = share;
        this.reserve = reserve;
    }

    /** Creates budgets with a constant reserve. */
    public RetryBudgets(double share, int reserve) {
        this(share, () -> reserve);
    }

    /** Returns the budget of a service. */
    public RetryBudget of(String service) {
        int current = reserve.getAsInt();
        RetryBudget budget =
                budgets.computeIfAbsent(service, name -> new RetryBudget(share, current));
        budget.limitReserve(current);
        return budget;
    }
}
