package org.bergamothoist.core.relay;

/** How an attempt to run a request on a target failed. */
public enum AttemptFailure {
    /** No byte of the request reached the target. */
    NOT_SENT,
    /** The target responded that it did not run the request. */
    REFUSED,
    /**
     * The target disconnected or went silent before its response began; it may have run the
     * request.
     */
    NO_ANSWER,
    /** The response does not belong to this request; the target may have run the request. */
    INVALID_ANSWER,
    /** The target responded with an error. */
    SERVER_ERROR,
    /** An event stream broke after its start. */
    BROKEN_STREAM,
    /** This daemon moves a healthy event stream away, because its target is about to pause. */
    MOVED_AWAY;

    /** Returns whether the target may have run the request. */
    public boolean mayHaveRun() {
        return this != NOT_SENT && this != REFUSED;
    }
}
