package org.bergamothoist.core.platform;

import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.log.LogRecord;

/**
 * The platform's append-only log. Offsets start at 1 and grow by 1. Records expire. A failed append
 * may have taken effect, now or later.
 */
public interface LogService {

    /** Appends a record and returns its offset; fails with {@link PlatformException}. */
    CompletionStage<Long> append(LogRecord record);

    /**
     * Reads records from an offset on; fails with {@link PlatformException}.
     *
     * @param fromOffset first offset wanted; an expired one means the first retained one
     * @param maximumRecords most records returned
     */
    CompletionStage<LogPage> read(long fromOffset, int maximumRecords);
}
