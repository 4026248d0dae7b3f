package org.bergamothoist.core.request;

import java.time.Duration;
import java.util.Objects;
import org.bergamothoist.core.error.ErrorCode;

/** The final outcome of a request, of which there are exactly three kinds. */
public sealed interface Outcome {

    /** The complete response was delivered to the caller. */
    record Answered() implements Outcome {}

    /**
     * No byte of the request has been or will be sent to any target.
     *
     * @param retryAfter delay after which a retry may succeed, or zero if no retry is suggested
     */
    record NotRun(ErrorCode code, String message, Duration retryAfter) implements Outcome {
        public NotRun {
            Objects.requireNonNull(code);
            Objects.requireNonNull(message);
            Objects.requireNonNull(retryAfter);
        }
    }

    /** Whether the request ran, completely or in part, is not known. */
    record Unknown(ErrorCode code, String message) implements Outcome {
        public Unknown {
            Objects.requireNonNull(code);
            Objects.requireNonNull(message);
        }
    }

    /** Returns a {@link NotRun} outcome that suggests no retry. */
    static Outcome notRun(ErrorCode code, String message) {
        return new NotRun(code, message, Duration.ZERO);
    }
}
