package org.bergamothoist.core.limit;

import org.bergamothoist.core.error.ErrorCode;

/** Callbacks of the admission controller for a submitted request. */
public interface AdmissionHandler {

    /**
     * Dispatches the request if a target has capacity.
     *
     * @return false if none has; the request then stays queued
     */
    boolean tryDispatch();

    /** Refuses the request, which was not dispatched. */
    void refuse(ErrorCode code, String message);
}
