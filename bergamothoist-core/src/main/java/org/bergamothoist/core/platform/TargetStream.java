package org.bergamothoist.core.platform;

/** Flow control and cancellation of one running attempt at a target. */
public interface TargetStream {

    /** Requests delivery of further pieces; initially none are requested. */
    void request(int pieces);

    /** Cancels the attempt; the listener receives no further events. */
    void cancel();
}
