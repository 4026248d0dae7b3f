package org.bergamothoist.core.platform;

import java.util.List;
import java.util.Map;
import org.bergamothoist.core.identity.RequestId;

/**
 * One attempt of a call to a plain service.
 *
 * @param pathAndQuery path at the service, including the query
 * @param headers end-to-end headers from the caller
 * @param body the caller's request body, unchanged
 */
public record ServiceCall(
        Target target,
        RequestId requestId,
        String method,
        String pathAndQuery,
        Map<String, List<String>> headers,
        byte[] body) {

    public ServiceCall {
        headers = Map.copyOf(headers);
    }
}
