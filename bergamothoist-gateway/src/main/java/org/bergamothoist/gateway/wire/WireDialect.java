package org.bergamothoist.gateway.wire;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

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

    /** Returns whether a header is forwarded even if {@code Connection} lists it as hop-by-hop. */
    boolean isNeverHopByHop(String headerName);
}
