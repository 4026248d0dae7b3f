package org.bergamothoist.core.platform;

import java.util.Objects;

/** Why a dispatch to a target failed. */
public record TargetFailure(Kind kind, String message) {

    public TargetFailure {
        Objects.requireNonNull(kind);
        Objects.requireNonNull(message);
    }

    /** What is known about the target after the failure. */
    public enum Kind {
        /** No byte was sent. */
        NOT_SENT,
        /** The target answered that it did not run the request. */
        REFUSED,
        /** The connection broke after a byte was sent; the target may have crashed. */
        BROKEN,
        /** The target runs, but reports that the request failed. */
        FAILED,
        /** The target no longer knows the stream that was to be resumed. */
        STREAM_UNKNOWN
    }
}
