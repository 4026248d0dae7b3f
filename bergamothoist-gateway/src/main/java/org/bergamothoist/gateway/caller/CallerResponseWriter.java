package org.bergamothoist.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Writes the response of one request to its caller. */
interface CallerResponseWriter {

    /** Sends the status line and headers of the response. */
    void sendHead(HttpResponse head);

    /** Sends a piece of the body and releases the buffer. */
    void sendContent(ByteBuf content);

    /** Completes the response. */
    void finish();

    /**
     * Closes the connection, so that the caller does not take an incomplete response for a complete
     * one.
     */
    void abort();

    /** Returns whether the connection's write buffer has room for more bytes. */
    boolean isWritable();

    /** Returns whether the caller supports chunked transfer encoding. */
    boolean acceptsChunkedEncoding();
}
