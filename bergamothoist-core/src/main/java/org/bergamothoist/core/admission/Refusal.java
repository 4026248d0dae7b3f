package org.bergamothoist.core.admission;

import java.time.Duration;
import org.bergamothoist.core.error.ErrorCode;

/**
 * The refusal of a request that was not sent to a target.
 *
 * @param reason what decided, for the log and the caller
 * @param retryAfter time after which the caller may retry
 */
public record Refusal(ErrorCode code, String reason, Duration retryAfter) {}
