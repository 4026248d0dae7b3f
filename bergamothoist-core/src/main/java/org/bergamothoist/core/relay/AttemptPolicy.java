package org.bergamothoist.core.relay;

import java.time.Duration;
import org.bergamothoist.core.limit.RetryBudgets;
import org.bergamothoist.core.route.Route;

/** Decides whether a request goes to another target after a failed attempt. */
public final class AttemptPolicy {

    /** Least time left for which another attempt is worth its load: a connection and a step. */
    private static final Duration LEAST_TIME_LEFT = Duration.ofMillis(20);

    /** Most targets tried that could not be reached or refused, so that a request ends. */
    private static final int MOST_UNRUN_ATTEMPTS = 4;

    private final RetryBudgets budgets;

    /**
     * Creates a policy.
     *
     * @param budgets shared by all requests of this daemon
     */
    public AttemptPolicy(RetryBudgets budgets) {
        this.budgets = budgets;
    }

    /** Notes the first attempt of a request. */
    public void onRequest(String service) {
        budgets.of(service).onRequest();
    }

    /**
     * The history of one request.
     *
     * @param runs attempts that may have run
     * @param unrun attempts that certainly have not
     */
    public record History(int runs, int unrun) {

        /** A request that was not sent yet. */
        public static final History NONE = new History(0, 0);

        /** Returns the history with one more failed attempt. */
        public History after(AttemptResult result) {
            return result.mayHaveRun()
                    ? new History(runs + 1, unrun)
                    : new History(runs, unrun + 1);
        }

        /** Returns whether no target may have run the request. */
        public boolean certainlyNotRun() {
            return runs == 0;
        }
    }

    /**
     * Returns whether the request is sent once more; takes from the retry budget if so.
     *
     * @param history includes the failed attempt
     */
    public boolean isRetried(
            Route route, String service, AttemptResult result, History history, Duration left) {
        if (left.compareTo(LEAST_TIME_LEFT) < 0 || history.unrun() >= MOST_UNRUN_ATTEMPTS) {
            return false;
        }
        boolean repeatable = route.kind().isRepeatable();
        if (history.runs() > 0 && !repeatable) {
            return false;
        }
        if (history.runs() >= route.attempts()) {
            return false;
        }
        return result == AttemptResult.NOT_SENT || budgets.of(service).tryTake();
    }
}
