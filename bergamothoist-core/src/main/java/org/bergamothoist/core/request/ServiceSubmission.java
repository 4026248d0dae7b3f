package org.bergamothoist.core.request;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bergamothoist.core.identity.RequestId;

/**
 * A call to a plain service as received from a caller, not yet validated.
 *
 * @param callerKey the caller's bearer token; must not be logged or forwarded
 * @param requestId identifier chosen by the caller; required for non-idempotent requests
 * @param pathAndQuery path relative to the service, starting with a slash, including the query
 * @param headers end-to-end headers to forward
 * @param priority from 0 (most urgent) to 9 (least urgent)
 * @param deadline longest time from now until the response starts, or empty for no deadline
 * @param idempotent false if the caller requires that the request runs at most once
 */
public record ServiceSubmission(
        String callerKey,
        Optional<RequestId> requestId,
        String service,
        String method,
        String pathAndQuery,
        Map<String, List<String>> headers,
        byte[] body,
        int priority,
        Optional<Duration> deadline,
        boolean idempotent) {

    public ServiceSubmission {
        headers = Map.copyOf(headers);
    }
}
