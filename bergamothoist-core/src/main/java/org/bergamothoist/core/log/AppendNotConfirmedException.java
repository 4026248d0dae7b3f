package org.bergamothoist.core.log;

import org.bergamothoist.core.error.ErrorCode;

/**
 * Reports that an append was not confirmed before its deadline. The record may be in the log, or
 * may still get there.
 */
public final class AppendNotConfirmedException extends LogException {

    public AppendNotConfirmedException(String message) {
        super(ErrorCode.LOG_UNAVAILABLE, message);
    }
}
