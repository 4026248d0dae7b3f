package org.bergamothoist.daemon.caller;

import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;

/** Reports a request that cannot be understood; nothing of it was sent to any target. */
class InvalidRequestException extends BergamothoistException {

    InvalidRequestException(String message) {
        super(ErrorCode.INVALID_REQUEST, message);
    }

    InvalidRequestException(ErrorCode code, String message) {
        super(code, message);
    }
}
