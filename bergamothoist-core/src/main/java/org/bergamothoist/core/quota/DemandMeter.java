package org.bergamothoist.core.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Measures the demand of one organisation at this daemon, from its last few arrivals: the demand of
 * frequent requests follows within half a second, that of rare ones lasts until the next.
 */
final class DemandMeter {

    /** Arrivals within this time are one entry: a small part of the interval between reports. */
    private static final Duration ENTRY_TIME = Duration.ofMillis(50);

    private static final int MAXIMUM_ENTRIES = 8;

    /** Shortest time that demand is averaged over: that of all entries of frequent requests. */
    private static final Duration SHORTEST_SPAN = ENTRY_TIME.multipliedBy(MAXIMUM_ENTRIES);

    /** Age at which an arrival no longer counts. */
    private static final Duration RETENTION = Duration.ofSeconds(8);

    /** Fewer entries say nothing of the time between them. */
    private static final int ENTRIES_FOR_GAP = 3;

    /** Pause, in mean gaps between entries, after which requests are taken to have ended. */
    private static final int GAPS_TO_END = 5;

    /** Time by which requests may be late without having ended. */
    private static final Duration LATENESS = Duration.ofMillis(200);

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final Deque<Entry> entries = new ArrayDeque<>();
    private double totalUnits;

    private static final class Entry {

        private final Instant at;
        private double units;

        private Entry(Instant at) {
            this.at = at;
        }
    }

    void record(double units, Instant now) {
        if (entries.isEmpty() || !now.isBefore(entries.getLast().at.plus(ENTRY_TIME))) {
            entries.addLast(new Entry(now));
        }
        entries.getLast().units += units;
        totalUnits += units;
        if (entries.size() > MAXIMUM_ENTRIES) {
            removeFirst();
        }
    }

    private void removeFirst() {
        totalUnits -= entries.removeFirst().units;
    }

    /** Returns the demand in units per second. */
    double unitsPerSecond(Instant now) {
        Instant oldest = now.minus(RETENTION);
        while (!entries.isEmpty() && entries.getFirst().at.isBefore(oldest)) {
            removeFirst();
        }
        if (entries.isEmpty()) {
            totalUnits = 0;
            return 0;
        }
        Duration span = Duration.between(entries.getFirst().at, now);
        if (hasEnded(now)) {
            span = RETENTION;
        } else if (span.compareTo(SHORTEST_SPAN) < 0) {
            span = SHORTEST_SPAN;
        }
        return Math.max(0, totalUnits) / (span.toNanos() / NANOSECONDS_PER_SECOND);
    }

    private boolean hasEnded(Instant now) {
        if (entries.size() < ENTRIES_FOR_GAP) {
            return false;
        }
        Instant last = entries.getLast().at;
        long span = Duration.between(entries.getFirst().at, last).toNanos();
        long pause = span / (entries.size() - 1) * GAPS_TO_END + LATENESS.toNanos();
        return Duration.between(last, now).toNanos() > pause;
    }
}
