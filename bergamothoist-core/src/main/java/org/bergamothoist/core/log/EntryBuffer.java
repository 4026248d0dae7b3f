package org.bergamothoist.core.log;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.bergamothoist.core.platform.LogEntry;

/** A ring buffer of the most recent log entries, with consecutive offsets. */
final class EntryBuffer {

    private final LogEntry[] ring;
    private long firstOffset = 1;
    private long nextOffset = 1;

    EntryBuffer(int capacity) {
        ring = new LogEntry[capacity];
    }

    void add(LogEntry entry) {
        if (entry.offset() != nextOffset) {
            resetTo(entry.offset());
        }
        ring[index(entry.offset())] = entry;
        nextOffset = entry.offset() + 1;
        firstOffset = Math.max(firstOffset, nextOffset - ring.length);
    }

    /** Drops all entries; the next entry added is expected at the given offset. */
    void resetTo(long offset) {
        Arrays.fill(ring, null);
        firstOffset = offset;
        nextOffset = offset;
    }

    /** Returns the entries that follow an offset; none if the first of them is not buffered. */
    List<LogEntry> entriesAfter(long offset, int maximum) {
        long from = offset + 1;
        if (from < firstOffset || from >= nextOffset) {
            return List.of();
        }
        long to = Math.min(nextOffset, from + maximum);
        List<LogEntry> entries = new ArrayList<>();
        for (long current = from; current < to; current++) {
            entries.add(ring[index(current)]);
        }
        return entries;
    }

    private int index(long offset) {
        return (int) (offset % ring.length);
    }
}
