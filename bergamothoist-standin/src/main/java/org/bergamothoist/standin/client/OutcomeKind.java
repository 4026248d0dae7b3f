package org.bergamothoist.standin.client;

/** How a sending ended from the caller's view. */
public enum OutcomeKind {
    /** The whole answer came. */
    ANSWERED,
    /** The router says that the request did not run. */
    NOT_RUN,
    /** The router says that the request may have run. */
    UNKNOWN,
    /** No address could be reached, or no answer began in time. */
    NO_ANSWER
}
