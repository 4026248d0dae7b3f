package org.bergamothoist.core.route;

/** Whether requests may be retried, and whether their responses are event streams. */
public enum RequestKind {
    /** A request that may run any number of times. */
    IDEMPOTENT,
    /** A request that must run at most once each time its caller sends it. */
    NON_IDEMPOTENT,
    /** A request for an event stream that must run at most once. */
    STREAM,
    /**
     * A request for an event stream that another target can resume after the last event delivered.
     */
    RESUMABLE_STREAM;

    /** Returns whether a request that may have run already can be sent to another target. */
    public boolean isRetryable() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }

    /** Returns whether responses are event streams. */
    public boolean isStream() {
        return this == STREAM || this == RESUMABLE_STREAM;
    }
}
