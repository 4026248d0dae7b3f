package org.bergamothoist.cli;

import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;

/** Reports that a command could not do its work. */
class CommandException extends BergamothoistException {

    CommandException(ErrorCode code, String message) {
        super(code, message);
    }

    CommandException(ErrorCode code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
