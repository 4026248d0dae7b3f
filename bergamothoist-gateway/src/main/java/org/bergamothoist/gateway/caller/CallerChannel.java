package org.bergamothoist.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** The way back to the caller of one request. */
interface CallerChannel {

    /** Sends the head of the answer. */
    void sendHead(HttpResponse head);

    /** Sends a piece of the body, which is released. */
    void sendContent(ByteBuf content);

    /** Ends the answer. */
    void finish();

    /** Closes the connection, so that an incomplete answer does not look complete. */
    void breakOff();

    /** Returns whether the caller takes more bytes now. */
    boolean isWritable();

    /** Returns whether the caller understands a body in chunks. */
    boolean acceptsChunks();
}
