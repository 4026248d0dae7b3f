package org.bergamothoist.core.feed;

import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;

/** Thrown when the records from an offset on are no longer retained. */
public final class ExpiredOffsetException extends BergamothoistException {

    /**
     * Creates an exception.
     *
     * @param offset first offset that was to be read
     */
    public ExpiredOffsetException(Feed feed, long offset) {
        super(
                ErrorCode.PLATFORM_UNAVAILABLE,
                "records of feed " + feed + " from offset " + offset + " have expired");
    }
}
