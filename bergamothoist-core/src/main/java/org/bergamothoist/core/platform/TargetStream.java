package org.bergamothoist.core.platform;

/** Controls one running dispatch. */
public interface TargetStream {

    /** Allows the adapter to deliver this many more pieces; initially none are allowed. */
    void request(int pieces);

    /** Cancels the dispatch; the listener hears nothing more. */
    void cancel();
}
