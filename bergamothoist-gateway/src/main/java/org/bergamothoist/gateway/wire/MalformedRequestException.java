package org.bergamothoist.gateway.wire;

import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.gateway.GatewayException;

/** Thrown if the head of a request has missing or invalid headers. */
public final class MalformedRequestException extends GatewayException {

    public MalformedRequestException(String message) {
        super(ErrorCode.INVALID_REQUEST, message);
    }
}
