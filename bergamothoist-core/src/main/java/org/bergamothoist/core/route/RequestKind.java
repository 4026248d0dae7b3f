package org.bergamothoist.core.route;

/** Says what may be repeated of a route's requests. */
public enum RequestKind {
    /** A request that may run more than once. */
    IDEMPOTENT,
    /** A request that runs at most once for each sending of its caller. */
    NON_IDEMPOTENT,
    /** An event stream that runs at most once. */
    STREAM,
    /** An event stream that may go on at another target after its last delivered event. */
    RESUMABLE_STREAM;

    /** Returns whether a request that may have run can be sent to another target. */
    public boolean isRetryable() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }

    /** Returns whether answers are event streams. */
    public boolean isStream() {
        return this == STREAM || this == RESUMABLE_STREAM;
    }
}
