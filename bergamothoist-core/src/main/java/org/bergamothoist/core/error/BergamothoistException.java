package org.bergamothoist.core.error;

import java.util.Objects;

/** An unchecked exception with a code. Each layer throws a subclass of its own. */
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

    /** Returns the code, which names the cause for programs. */
    public final ErrorCode code() {
        return code;
    }
}
