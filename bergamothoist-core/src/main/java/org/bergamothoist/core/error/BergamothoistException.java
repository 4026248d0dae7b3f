package org.bergamothoist.core.error;

import java.util.Objects;

/** Base class of this project's exceptions, with an error code. Each layer has its own subclass. */
public class BergamothoistException extends RuntimeException {

    private final ErrorCode code;

    public BergamothoistException(ErrorCode code, String message) {
        super(message);
        this.code = Objects.requireNonNull(code);
    }

    public BergamothoistException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = Objects.requireNonNull(code);
    }

    /** Returns the machine-readable cause. */
    public final ErrorCode code() {
        return code;
    }
}
