package org.bergamothoist.core.platform;

import java.util.List;

/**
 * A contiguous part of the log.
 *
 * @param firstRetainedOffset offset of the oldest record that has not expired
 * @param endOffset offset that the next appended record will have at the earliest
 * @param entries records in order, from the requested or the first retained offset on
 */
public record LogPage(long firstRetainedOffset, long endOffset, List<LogEntry> entries) {

    public LogPage {
        entries = List.copyOf(entries);
    }
}
