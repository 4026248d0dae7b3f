package org.bergamothoist.core.request;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bergamothoist.core.identity.RequestId;

/**
 * A call to a plain service as a caller sent it, before any check.
 *
 * @param callerKey the caller's bearer key; never logged or forwarded
 * @param pathAndQuery path below the service, starting with a slash, with the query
 * @param headers end-to-end headers to forward
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
