package org.bergamothoist.core.request;

import java.time.Duration;
import java.util.Optional;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.prompt.Prompt;

/**
 * A completion as a caller sent it, before any check.
 *
 * @param callerKey the caller's bearer key; never logged
 * @param requestId the caller's identifier; required for non-idempotent requests
 * @param version weight version, or empty for the newest one that the organisation may use
 * @param maximumTokens most tokens to generate
 * @param priority 0 is most urgent, 9 least
 * @param deadline time from now until which the first token must arrive, or empty for none
 * @param idempotent false if the caller marks the request as not to be repeated
 */
public record CompletionSubmission(
        String callerKey,
        Optional<RequestId> requestId,
        String model,
        String adapter,
        Optional<String> version,
        Prompt prompt,
        int maximumTokens,
        int priority,
        Optional<Duration> deadline,
        boolean idempotent) {}
