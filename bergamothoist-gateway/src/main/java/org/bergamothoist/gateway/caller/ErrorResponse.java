package org.bergamothoist.gateway.caller;

import java.time.Duration;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.time.Jitter;

/**
 * An error response that the relay generates itself.
 *
 * @param reason text for the caller, written into the JSON body without escaping
 * @param retryAfter time after which the caller may retry; empty if a retry would not help
 */
public record ErrorResponse(
        int status, ErrorCode code, String reason, Optional<Duration> retryAfter) {

    /** Minimum retry delay of callers whose body does not fit into the memory: bodies take time. */
    private static final Duration MEMORY_RETRY_DELAY = Duration.ofSeconds(1);

    /** Maximum random addition to it, so that such bodies do not all come again at once. */
    private static final Duration MEMORY_RETRY_JITTER = Duration.ofSeconds(2);

    /**
     * Minimum retry delay of callers whose request certainly was not run; short, because it may
     * soon be repeated at another target or at the same one.
     */
    private static final Duration MINIMUM_RETRY_DELAY = Duration.ofMillis(100);

    /** Maximum random addition to the retry delay, so that callers do not retry all at once. */
    private static final Duration RETRY_JITTER = Duration.ofMillis(400);

    private static final int UNAVAILABLE = 503;
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;

    /** Creates the response to a request for whose body no memory is left. */
    static ErrorResponse outOfMemory(DoubleSupplier random) {
        return new ErrorResponse(
                UNAVAILABLE,
                ErrorCode.LIMIT_EXCEEDED,
                "no memory is left for a body of this size",
                Optional.of(Jitter.delay(MEMORY_RETRY_DELAY, MEMORY_RETRY_JITTER, random)));
    }

    /**
     * Creates the response to a request whose attempts have failed.
     *
     * @param notRun whether certainly no target has run the request
     */
    static ErrorResponse failed(
            boolean notRun, ErrorCode code, String reason, DoubleSupplier random) {
        if (!notRun) {
            return of(BAD_GATEWAY, code, reason);
        }
        Duration delay = Jitter.delay(MINIMUM_RETRY_DELAY, RETRY_JITTER, random);
        return new ErrorResponse(UNAVAILABLE, code, reason, Optional.of(delay));
    }

    /**
     * Creates the response to a request whose deadline has passed.
     *
     * @param notRun whether certainly no target has run the request
     */
    static ErrorResponse deadlinePassed(boolean notRun) {
        return notRun
                ? of(
                        UNAVAILABLE,
                        ErrorCode.DEADLINE_UNREACHABLE,
                        "deadline passed before the request was sent to a target")
                : of(GATEWAY_TIMEOUT, ErrorCode.DEADLINE_EXCEEDED, "no answer");
    }

    /** Creates a response without a retry time. */
    public static ErrorResponse of(int status, ErrorCode code, String reason) {
        return new ErrorResponse(status, code, reason, Optional.empty());
    }
}
