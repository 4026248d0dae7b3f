package org.bergamothoist.core.log;

import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;

/** Signals a failure of the replicated log or of the state derived from it. */
public class LogException extends BergamothoistException {

    public LogException(ErrorCode code, String message) {
        super(code, message);
    }
}
