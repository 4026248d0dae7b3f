package org.bergamothoist.core.platform;

import java.util.List;

/**
 * A contiguous part of the log.
 *
 * @param firstRetainedOffset offset of the oldest record that has not expired
 * @param endOffset lower bound of the offset of the next record to be appended
 * @param entries records in order, starting at the requested or the first retained offset
 */
public record LogPage(long firstRetainedOffset, long endOffset, List<LogEntry> entries) {

    public LogPage {
        entries = List.copyOf(entries);
    }
}
