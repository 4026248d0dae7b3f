package org.bergamothoist.gateway.wire;

import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.gateway.GatewayException;

/** A request's head cannot be read. */
public final class MalformedRequestException extends GatewayException {

    public MalformedRequestException(String message) {
        super(ErrorCode.INVALID_REQUEST, message);
    }
}
