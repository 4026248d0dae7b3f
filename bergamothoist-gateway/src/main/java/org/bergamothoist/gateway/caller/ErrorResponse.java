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

    private static final int UNAVAILABLE = 503;

    /** Creates the response to a request for whose body no memory is left. */
    static ErrorResponse outOfMemory(DoubleSupplier random) {
        return new ErrorResponse(
                UNAVAILABLE,
                ErrorCode.LIMIT_EXCEEDED,
                "no memory is left for a body of this size",
                Optional.of(Jitter.delay(MEMORY_RETRY_DELAY, MEMORY_RETRY_JITTER, random)));
    }

    /** Creates a response without a retry time. */
    public static ErrorResponse of(int status, ErrorCode code, String reason) {
        return new ErrorResponse(status, code, reason, Optional.empty());
    }
}
