package org.bergamothoist.core.log;

import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;

/** Reports a failure of the shared state or its log. */
public class LogException extends BergamothoistException {

    public LogException(ErrorCode code, String message) {
        super(code, message);
    }
}
