package org.bergamothoist.core.request;

import java.time.Duration;
import java.util.Optional;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.prompt.Prompt;

/**
 * A completion request as received from a caller, not yet validated.
 *
 * @param callerKey the caller's bearer token; must not be logged
 * @param requestId identifier chosen by the caller; required for non-idempotent requests
 * @param version weight version, or empty for the newest version that the organisation may use
 * @param maximumTokens upper limit of tokens to generate
 * @param priority from 0 (most urgent) to 9 (least urgent)
 * @param deadline longest time from now until the first token, or empty for no deadline
 * @param idempotent false if the caller requires that the request runs at most once
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
