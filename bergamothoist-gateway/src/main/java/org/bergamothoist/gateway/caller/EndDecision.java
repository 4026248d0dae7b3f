package org.bergamothoist.gateway.caller;

import java.util.Locale;

/** Who or what decided that a request ended when it did. */
enum EndDecision {
    /** The answer was complete. */
    ANSWERED,
    CALLER_LEFT,
    /** The grace period of a planned stop ended. */
    GRACE_ENDED,
    /** The deadline of the request or the timeout of its route passed. */
    DEADLINE,
    /** This daemon gave the target up, because it was silent. */
    TARGET_SILENT,
    /** The target closed or reset the connection. */
    TARGET_BROKE_OFF,
    /** The target refused the request or answered with an error. */
    TARGET_FAILED,
    /** The target's answer was not a valid one to this request. */
    INVALID_ANSWER,
    /** No memory was left for the answer. */
    OUT_OF_MEMORY,
    /** No target accepted the request. */
    NO_TARGET,
    /** The request would not have ended before the daemon. */
    STOPPING,
    ERROR;

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
