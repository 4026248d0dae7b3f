package org.bergamothoist.gateway.caller;

import java.time.Duration;
import java.util.Optional;
import org.bergamothoist.core.error.ErrorCode;

/**
 * An answer of the relay's own to a request that was not run.
 *
 * @param retryAfter when the caller may come again, if it helps
 */
public record Refusal(int status, ErrorCode code, String reason, Optional<Duration> retryAfter) {

    /** Creates a refusal that repeating would not change. */
    public static Refusal of(int status, ErrorCode code, String reason) {
        return new Refusal(status, code, reason, Optional.empty());
    }
}
