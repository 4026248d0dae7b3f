package org.bergamothoist.core.limit;

import org.bergamothoist.core.error.ErrorCode;

/** What becomes of a request that asked for admission. */
public interface AdmissionHandler {

    /**
     * Dispatches the request if a target has room.
     *
     * @return false if none has; the request then stays queued
     */
    boolean tryDispatch();

    /** Ends the request, which was not run. */
    void refuse(ErrorCode code, String message);
}
