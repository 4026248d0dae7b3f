package org.bergamothoist.gateway.client;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives one answer, or the failure of its request. Called on the event loop. */
public interface AnswerListener {

    /** How a request failed. */
    enum Failure {
        /** No connection; no byte was sent. */
        NOT_CONNECTED,
        /** The connection ended before the answer was complete. */
        CONNECTION_LOST,
        /** What was received is not an answer in the protocol. */
        INVALID_ANSWER
    }

    /**
     * Takes the head of an answer.
     *
     * @return whether this is the answer to the request; another one is read and ignored
     */
    boolean onHead(HttpResponse head);

    /** Takes a piece of the body; the callee does not release it. */
    void onContent(ByteBuf content);

    /** Notes that the answer is complete. */
    void onComplete();

    /** Notes that no complete answer will come. */
    void onFailure(Failure failure, String detail);
}
