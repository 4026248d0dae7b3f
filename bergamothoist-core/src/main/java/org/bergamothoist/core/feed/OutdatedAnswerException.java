package org.bergamothoist.core.feed;

import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;

/**
 * Thrown instead of an answer of the store that must not be used, because it is of an earlier era,
 * or because the store has fallen back since the call was sent. The call counts as not answered: it
 * may or may not have taken effect.
 */
public final class OutdatedAnswerException extends BergamothoistException {

    /** Creates an exception. */
    public OutdatedAnswerException(String message) {
        super(ErrorCode.PLATFORM_UNAVAILABLE, message);
    }
}
