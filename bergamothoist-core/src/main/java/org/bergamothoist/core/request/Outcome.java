package org.bergamothoist.core.request;

import java.time.Duration;
import java.util.Objects;
import org.bergamothoist.core.error.ErrorCode;

/** How a request ended. There are exactly three outcomes. */
public sealed interface Outcome {

    /** The whole answer was delivered. */
    record Answered() implements Outcome {}

    /**
     * No byte of the request was sent to any target, nor will be.
     *
     * @param retryAfter time after which a repeat makes sense, zero if it makes none
     */
    record NotRun(ErrorCode code, String message, Duration retryAfter) implements Outcome {
        public NotRun {
            Objects.requireNonNull(code);
            Objects.requireNonNull(message);
            Objects.requireNonNull(retryAfter);
        }
    }

    /** The request may have run, wholly, in part or not at all. */
    record Unknown(ErrorCode code, String message) implements Outcome {
        public Unknown {
            Objects.requireNonNull(code);
            Objects.requireNonNull(message);
        }
    }

    /** Returns a "not run" outcome for which an immediate repeat makes no sense. */
    static Outcome notRun(ErrorCode code, String message) {
        return new NotRun(code, message, Duration.ZERO);
    }
}
