package org.bergamothoist.core.platform;

import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.log.LogRecord;

/**
 * Client of the platform's append-only log. Offsets start at 1 and increase by 1. Records expire.
 * An append that is reported as failed may still take effect, now or later.
 */
public interface LogService {

    /** Appends a record and returns its offset; fails with {@link PlatformException}. */
    CompletionStage<Long> append(LogRecord record);

    /**
     * Reads records starting at an offset; fails with {@link PlatformException}.
     *
     * @param fromOffset first offset to read; if it has expired, reading starts at the first
     *     retained offset
     * @param maximumRecords maximum number of records to return
     */
    CompletionStage<LogPage> read(long fromOffset, int maximumRecords);
}
