package org.bergamothoist.core.feed;

import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;

/** The records after an offset are no longer kept. */
public final class ExpiredOffsetException extends BergamothoistException {

    public ExpiredOffsetException(Feed feed, long offset) {
        super(
                ErrorCode.PLATFORM_UNAVAILABLE,
                "records of " + feed + " from offset " + offset + " have expired");
    }
}
