package org.bergamothoist.core.log;

import org.bergamothoist.core.error.ErrorCode;

/**
 * Signals that an append was not confirmed before its deadline. Its outcome is unknown: the record
 * may be in the log already or may still be appended.
 */
public final class AppendNotConfirmedException extends LogException {

    public AppendNotConfirmedException(String message) {
        super(ErrorCode.LOG_UNAVAILABLE, message);
    }
}
