package org.bergamothoist.gateway.caller;

import java.time.Duration;
import java.util.Optional;
import org.bergamothoist.core.error.ErrorCode;

/**
 * An error response that the relay generates itself.
 *
 * @param reason text for the caller, written into the JSON body without escaping
 * @param retryAfter time after which the caller may retry; empty if a retry would not help
 */
public record ErrorResponse(
        int status, ErrorCode code, String reason, Optional<Duration> retryAfter) {

    /** Creates a response without a retry time. */
    public static ErrorResponse of(int status, ErrorCode code, String reason) {
        return new ErrorResponse(status, code, reason, Optional.empty());
    }
}
