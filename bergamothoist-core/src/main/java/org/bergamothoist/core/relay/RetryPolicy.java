package org.bergamothoist.core.relay;

import java.time.Duration;
import org.bergamothoist.core.limit.RetryBudgets;
import org.bergamothoist.core.route.RequestKind;
import org.bergamothoist.core.route.Route;

/** Decides whether a request is sent to another target after a failed attempt. */
public final class RetryPolicy {

    /**
     * Time left below which a retry is not worth its load: it takes a connection and an engine
     * step.
     */
    private static final Duration MINIMUM_TIME_LEFT = Duration.ofMillis(20);

    /**
     * Maximum attempts that certainly did not run, so that a request that all targets refuse ends.
     */
    private static final int MAXIMUM_ATTEMPTS_NOT_RUN = 4;

    /**
     * Retries reserved for responses that have started, which would otherwise be cut off: enough
     * for a refusal at each of two streams.
     */
    private static final int RESERVED_FOR_STARTED_RESPONSES = 2;

    /**
     * Retries that must remain before a healthy stream is moved, since the next target may refuse
     * it.
     */
    private static final int RESERVED_WHEN_MOVING = RESERVED_FOR_STARTED_RESPONSES + 2;

    private final RetryBudgets budgets;

    /**
     * Creates a policy.
     *
     * @param budgets retry budgets shared by all requests of this daemon
     */
    public RetryPolicy(RetryBudgets budgets) {
        this.budgets = budgets;
    }

    /** Counts the first attempt of a request, which earns a share of a retry. */
    public void onRequest(String service) {
        budgets.of(service).onRequest();
    }

    /**
     * The failed attempts of one request.
     *
     * @param attemptsPossiblyRun attempts that may have run the request
     * @param attemptsNotRun attempts that certainly did not run the request
     */
    public record History(int attemptsPossiblyRun, int attemptsNotRun) {

        /** The history of a request that was not sent yet. */
        public static final History NONE = new History(0, 0);

        /** Returns the history with one more failed attempt. */
        public History after(AttemptFailure failure) {
            return failure.mayHaveRun()
                    ? new History(attemptsPossiblyRun + 1, attemptsNotRun)
                    : new History(attemptsPossiblyRun, attemptsNotRun + 1);
        }

        /** Returns whether certainly no target has run the request. */
        public boolean certainlyNotRun() {
            return attemptsPossiblyRun == 0;
        }
    }

    /**
     * A request at the time of a failed attempt.
     *
     * @param history attempts that failed earlier
     * @param responseStarted whether the caller has received part of the response
     * @param timeLeft time left until the deadline of the response
     */
    public record FailedAttempt(
            Route route,
            String service,
            History history,
            boolean responseStarted,
            Duration timeLeft) {}

    /**
     * Returns whether to retry the request; if so, takes a retry from the budget of its service,
     * unless nothing was sent.
     *
     * @param failure how the attempt failed
     */
    public boolean tryRetry(FailedAttempt attempt, AttemptFailure failure) {
        History history = attempt.history().after(failure);
        Route route = attempt.route();
        if (attempt.timeLeft().compareTo(MINIMUM_TIME_LEFT) < 0
                || history.attemptsNotRun() >= MAXIMUM_ATTEMPTS_NOT_RUN) {
            return false;
        }
        if (attempt.responseStarted() && route.kind() != RequestKind.RESUMABLE_STREAM) {
            return false;
        }
        if (history.attemptsPossiblyRun() > 0 && !route.kind().isRetryable()) {
            return false;
        }
        if (history.attemptsPossiblyRun() >= route.maximumAttempts()) {
            return false;
        }
        return failure == AttemptFailure.NOT_SENT
                || budgets.of(attempt.service()).tryTake(reservedRetries(attempt, failure));
    }

    /**
     * Takes a retry from the budget of a service for a stream that has started and was refused.
     * Returns whether one was left.
     */
    public boolean tryResume(String service) {
        return budgets.of(service).tryTake(0);
    }

    private static int reservedRetries(FailedAttempt attempt, AttemptFailure failure) {
        if (failure == AttemptFailure.MOVED_AWAY) {
            return RESERVED_WHEN_MOVING;
        }
        return attempt.responseStarted() ? 0 : RESERVED_FOR_STARTED_RESPONSES;
    }
}
