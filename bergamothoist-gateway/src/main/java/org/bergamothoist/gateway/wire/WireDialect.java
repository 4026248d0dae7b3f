package org.bergamothoist.gateway.wire;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;

/** Reads and writes the HTTP headers that a platform defines. */
public interface WireDialect {

    /**
     * Reads the head of a caller's request.
     *
     * @throws MalformedRequestException if a required header is missing or a header is invalid
     */
    RequestHead readRequest(HttpRequest request);

    /** Reads the head of a target's response. */
    ResponseHead readResponse(HttpResponse response);

    /**
     * Writes the metadata of a forwarded request and removes platform headers that a caller must
     * not set.
     *
     * @param headers end-to-end headers of the caller's request; modified in place
     */
    void writeForwardingMetadata(HttpHeaders headers, ForwardingMetadata forwarding);

    /**
     * Writes headers by which any target refuses a request at once and names itself, so that its
     * answer only shows that it runs.
     *
     * @param headers headers of the request; modified in place
     * @param requestId identifier that no other request has
     * @param timeLeft time for which the answer is awaited
     */
    void addressToNoTarget(HttpHeaders headers, String requestId, Duration timeLeft);

    /** Returns whether a header is forwarded even if {@code Connection} lists it as hop-by-hop. */
    boolean isNeverHopByHop(String headerName);
}
