package org.bergamothoist.core.request;

/** Lets a caller's connection control its stream. */
public interface StreamHandle {

    /** Allows this many more pieces or body parts; initially none are allowed. */
    void request(int pieces);

    /** Cancels the request, for example because the caller closed its connection. */
    void cancel();
}
