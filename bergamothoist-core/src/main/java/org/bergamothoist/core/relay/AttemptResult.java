package org.bergamothoist.core.relay;

/** How an attempt at a target failed. */
public enum AttemptResult {
    /** No byte of the request reached the target. */
    NOT_SENT,
    /** The target stated that it did not run the request. */
    REFUSED,
    /** The target ended or went silent before its answer began; it may have run the request. */
    NO_ANSWER,
    /** What the target sent is not an answer to this request; it may have run the request. */
    INVALID_ANSWER,
    /** The target answered with a failure. */
    SERVER_ERROR,
    /** An event stream broke after its start. */
    BROKEN_STREAM,
    /** A healthy event stream is moved by this daemon, because its target is about to pause. */
    MOVED_AWAY;

    /** Returns whether the target may have run the request. */
    public boolean mayHaveRun() {
        return this != NOT_SENT && this != REFUSED;
    }
}
