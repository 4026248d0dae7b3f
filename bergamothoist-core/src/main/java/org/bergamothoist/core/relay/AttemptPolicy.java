package org.bergamothoist.core.relay;

import java.time.Duration;
import org.bergamothoist.core.limit.RetryBudgets;
import org.bergamothoist.core.route.RequestKind;
import org.bergamothoist.core.route.Route;

/** Decides whether a request goes to another target after a failed attempt. */
public final class AttemptPolicy {

    /** Least time left for which another attempt is worth its load: a connection and a step. */
    private static final Duration LEAST_TIME_LEFT = Duration.ofMillis(20);

    /** Most targets tried that could not be reached or refused, so that a request ends. */
    private static final int MOST_UNRUN_ATTEMPTS = 4;

    /**
     * Retries kept for answers that have begun, which break off without one: a refusal at each of
     * two streams.
     */
    private static final int KEPT_FOR_BEGUN_ANSWERS = 2;

    /** Retries kept when a healthy stream is moved: it may be refused where it goes on. */
    private static final int KEPT_WHEN_MOVING = KEPT_FOR_BEGUN_ANSWERS + 2;

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
     * A request whose attempt has failed.
     *
     * @param before attempts before the failed one
     * @param answerBegun whether the caller has a part of the answer
     * @param left time left for an answer
     */
    public record Pending(
            Route route, String service, History before, boolean answerBegun, Duration left) {}

    /**
     * Returns whether the request is sent once more; takes from the retry budget if so.
     *
     * @param result how the attempt failed
     */
    public boolean isRetried(Pending request, AttemptResult result) {
        History history = request.before().after(result);
        Route route = request.route();
        if (request.left().compareTo(LEAST_TIME_LEFT) < 0
                || history.unrun() >= MOST_UNRUN_ATTEMPTS) {
            return false;
        }
        if (request.answerBegun() && route.kind() != RequestKind.RESUMABLE_STREAM) {
            return false;
        }
        if (history.runs() > 0 && !route.kind().isRetryable()) {
            return false;
        }
        if (history.runs() >= route.maximumAttempts()) {
            return false;
        }
        return result == AttemptResult.NOT_SENT
                || budgets.of(request.service()).tryTake(kept(request, result));
    }

    private static int kept(Pending request, AttemptResult result) {
        if (result == AttemptResult.MOVED_AWAY) {
            return KEPT_WHEN_MOVING;
        }
        return request.answerBegun() ? 0 : KEPT_FOR_BEGUN_ANSWERS;
    }
}
