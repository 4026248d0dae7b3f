package org.bergamothoist.core.platform;

import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;

/** Reports that an outside system failed, refused or did not answer. */
public class PlatformException extends BergamothoistException {

    public PlatformException(String message) {
        super(ErrorCode.PLATFORM_UNAVAILABLE, message);
    }

    public PlatformException(String message, Throwable cause) {
        super(ErrorCode.PLATFORM_UNAVAILABLE, message, cause);
    }
}
