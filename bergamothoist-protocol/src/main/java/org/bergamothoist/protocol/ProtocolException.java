package org.bergamothoist.protocol;

import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;

/** Reports that bytes from another daemon are malformed or not authentic. */
public class ProtocolException extends BergamothoistException {

    public ProtocolException(String message) {
        super(ErrorCode.INVALID_PEER_MESSAGE, message);
    }

    public ProtocolException(String message, Throwable cause) {
        super(ErrorCode.INVALID_PEER_MESSAGE, message, cause);
    }
}
