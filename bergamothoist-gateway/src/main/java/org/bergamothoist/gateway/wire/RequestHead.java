package org.bergamothoist.gateway.wire;

import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.bergamothoist.core.prefix.PartitionedPrompt;

/**
 * Request line and platform headers of a caller's request.
 *
 * @param requestId identifier that the caller gave the request
 * @param host value of the {@code Host} header
 * @param requestTarget path and query as sent
 * @param callerKey API key of the caller's organisation; must not be logged
 * @param deadline time that the caller waits, counted from the arrival of the request
 * @param lastEventId last event that the caller has received, if a stream is continued
 * @param prompt model, token counts and parts of the prompt, if the headers give them
 * @param sharedParts keys of the parts of the prompt that other requests may share, also of a
 *     request that states no model
 * @param tokens prompt and output tokens that the request states, also of one that states no model
 */
public record RequestHead(
        String requestId,
        HttpMethod method,
        String host,
        String requestTarget,
        Optional<String> callerKey,
        Optional<Duration> deadline,
        Optional<String> lastEventId,
        Optional<PartitionedPrompt> prompt,
        List<String> sharedParts,
        OptionalLong tokens) {}
