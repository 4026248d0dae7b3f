package org.bergamothoist.gateway.wire;

import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Optional;
import org.bergamothoist.core.prefix.PartitionedPrompt;

/**
 * The head of a caller's request.
 *
 * @param target path and query as sent
 * @param callerKey key of the caller's organisation
 * @param deadline how long the caller waits, counted from the arrival of the request
 * @param lastEventId last event that the caller has, if it continues a stream
 * @param prompt parts of the prompt, if the request names them
 */
public record RequestHead(
        String requestId,
        HttpMethod method,
        String host,
        String target,
        Optional<String> callerKey,
        Optional<Duration> deadline,
        Optional<String> lastEventId,
        Optional<PartitionedPrompt> prompt) {}
