package org.bergamothoist.core.admission;

/** Callbacks of the {@link AdmissionQueue} for a submitted request. */
public interface WaitHandler {

    /**
     * Sends the request if a target has room for it.
     *
     * @param overtaking whether it is the turn of a less urgent request before more urgent ones, so
     *     that it need not leave room for these
     * @return false if none has; true also if the request has ended for another reason
     */
    boolean trySend(boolean overtaking);

    /** Refuses the request, which was not sent to a target. */
    void refuse(Refusal refusal);
}
