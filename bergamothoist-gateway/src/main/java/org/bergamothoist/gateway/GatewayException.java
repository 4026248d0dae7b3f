package org.bergamothoist.gateway;

import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;

/** A failure of the relay: its settings, its connections or what was read from them. */
public class GatewayException extends BergamothoistException {

    public GatewayException(ErrorCode code, String message) {
        super(code, message);
    }

    public GatewayException(ErrorCode code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
