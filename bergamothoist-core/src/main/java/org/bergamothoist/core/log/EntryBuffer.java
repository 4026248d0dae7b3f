package org.bergamothoist.core.log;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.bergamothoist.core.platform.LogEntry;

/** Keeps the most recent records, without gaps. */
final class EntryBuffer {

    private final LogEntry[] ring;
    private long first = 1;
    private long next = 1;

    EntryBuffer(int capacity) {
        ring = new LogEntry[capacity];
    }

    void add(LogEntry entry) {
        if (entry.offset() != next) {
            startAt(entry.offset());
        }
        ring[index(entry.offset())] = entry;
        next = entry.offset() + 1;
        first = Math.max(first, next - ring.length);
    }

    /** Drops all records; the next one added has the offset. */
    void startAt(long offset) {
        Arrays.fill(ring, null);
        first = offset;
        next = offset;
    }

    /** Returns records that follow an offset; none if the first of them is not kept any more. */
    List<LogEntry> after(long offset, int maximum) {
        long from = offset + 1;
        if (from < first || from >= next) {
            return List.of();
        }
        long to = Math.min(next, from + maximum);
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
