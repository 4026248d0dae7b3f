package org.bergamothoist.core.platform;

import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;

/** Thrown when an external system fails, rejects a request or does not respond. */
public class PlatformException extends BergamothoistException {

    public PlatformException(String message) {
        super(ErrorCode.PLATFORM_UNAVAILABLE, message);
    }

    public PlatformException(String message, Throwable cause) {
        super(ErrorCode.PLATFORM_UNAVAILABLE, message, cause);
    }
}
