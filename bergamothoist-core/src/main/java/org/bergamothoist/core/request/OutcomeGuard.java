package org.bergamothoist.core.request;

/** Checks, and if need be corrects, the outcome of a request before it is delivered. */
@FunctionalInterface
public interface OutcomeGuard {

    /** Returns the outcome to deliver. */
    Outcome check(RequestExchange exchange, Outcome proposed);
}
