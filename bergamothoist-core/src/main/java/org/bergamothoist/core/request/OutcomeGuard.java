package org.bergamothoist.core.request;

/** Checks, and if need be corrects, the outcome of a request before it is delivered. */
@FunctionalInterface
public interface OutcomeGuard {

    /** Checks that a request may be sent to a target now; called before each dispatch. */
    default void beforeAttempt(RequestExchange exchange) {
        // Guards without a monitor check outcomes only.
    }

    /** Returns the outcome to deliver. */
    Outcome check(RequestExchange exchange, Outcome proposed);
}
