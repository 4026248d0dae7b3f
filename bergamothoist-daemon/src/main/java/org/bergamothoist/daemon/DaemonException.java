package org.bergamothoist.daemon;

import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;

/** Reports that a daemon could not be started. */
public class DaemonException extends BergamothoistException {

    public DaemonException(String message, Throwable cause) {
        super(ErrorCode.INTERNAL, message, cause);
    }
}
