package org.bergamothoist.core.request;

/** Flow control and cancellation of a stream, used by the caller's connection. */
public interface StreamHandle {

    /** Requests delivery of further pieces or body parts; initially none are requested. */
    void request(int pieces);

    /** Cancels the request, for example because the caller closed its connection. */
    void cancel();
}
