package org.bergamothoist.core.feed;

import java.util.Comparator;

/**
 * A position in a log of the platform's store. Eras are ordered before offsets, since offsets are
 * given out again when the store comes back from an older copy.
 *
 * @param era era of the store in which the offset was given out; 0 if it is unknown
 * @param offset position in the log, from 0; a negative one precedes all records
 */
public record LogPosition(long era, long offset) implements Comparable<LogPosition> {

    private static final Comparator<LogPosition> ORDER =
            Comparator.comparingLong(LogPosition::era).thenComparingLong(LogPosition::offset);

    @Override
    public int compareTo(LogPosition other) {
        return ORDER.compare(this, other);
    }

    /** Returns the next position of the era. */
    public LogPosition next() {
        return new LogPosition(era, offset + 1);
    }

    /** Returns the position before this one in the era. */
    public LogPosition previous() {
        return new LogPosition(era, offset - 1);
    }

    /** Returns whether this position follows another one. */
    public boolean isAfter(LogPosition other) {
        return compareTo(other) > 0;
    }

    @Override
    public String toString() {
        return era + ":" + offset;
    }
}
