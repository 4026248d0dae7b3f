package org.bergamothoist.core.platform;

import java.util.Objects;

/** The reason why an attempt at a target failed. */
public record TargetFailure(Kind kind, String message) {

    public TargetFailure {
        Objects.requireNonNull(kind);
        Objects.requireNonNull(message);
    }

    /** What is known about the target after the failure. */
    public enum Kind {
        /** No byte was sent. */
        NOT_SENT,
        /** The target responded that it did not run the request. */
        REFUSED,
        /** The connection failed after a byte was sent; the target may have crashed. */
        BROKEN,
        /** The target is running, but reports that the request failed. */
        FAILED,
        /** The target no longer knows the stream that was to be resumed. */
        STREAM_UNKNOWN
    }
}
