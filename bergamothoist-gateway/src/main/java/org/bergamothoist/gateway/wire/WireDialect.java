package org.bergamothoist.gateway.wire;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Reads and writes the headers of a platform. */
public interface WireDialect {

    /** Reads a request's head; throws {@link MalformedRequestException}. */
    RequestHead readRequest(HttpRequest request);

    /** Reads an answer's head. */
    AnswerHead readAnswer(HttpResponse answer);

    /**
     * Writes the relay's own headers into those that a target gets, and removes what a caller may
     * not set.
     *
     * @param headers the caller's end-to-end headers; changed
     */
    void write(HttpHeaders headers, Forwarding forwarding);

    /** Returns whether a header keeps its meaning end to end whatever a caller says. */
    boolean isEssential(String headerName);
}
