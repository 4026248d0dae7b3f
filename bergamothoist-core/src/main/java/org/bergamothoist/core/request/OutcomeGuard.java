package org.bergamothoist.core.request;

/** Verifies the outcome of a request, and corrects it if necessary, before it is delivered. */
@FunctionalInterface
public interface OutcomeGuard {

    /** Verifies that a request may be sent to a target; called before each dispatch. */
    default void beforeAttempt(RequestExchange exchange) {
        // No check by default.
    }

    /** Returns the outcome to deliver. */
    Outcome check(RequestExchange exchange, Outcome proposed);
}
