package org.bergamothoist.core.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** The units that this daemon has spent lately. */
final class RecentSpending {

    /** Spending within this time is one entry: a small part of the interval between reports. */
    private static final Duration ENTRY_TIME = Duration.ofMillis(20);

    /** Age at which spending is forgotten: above that of any report. */
    private static final Duration RETENTION = Duration.ofSeconds(15);

    private final Deque<Entry> entries = new ArrayDeque<>();

    private static final class Entry {

        private final Instant at;
        private double units;

        private Entry(Instant at) {
            this.at = at;
        }
    }

    /** Adds spent units, or returned ones below 0. */
    void add(double units, Instant now) {
        if (entries.isEmpty() || !now.isBefore(entries.getLast().at.plus(ENTRY_TIME))) {
            entries.addLast(new Entry(now));
            Instant oldest = now.minus(RETENTION);
            while (entries.getFirst().at.isBefore(oldest)) {
                entries.removeFirst();
            }
        }
        entries.getLast().units += units;
    }

    /** Returns what was spent since an instant. */
    double since(Instant start) {
        Instant first = start.minus(ENTRY_TIME);
        double total = 0;
        for (Iterator<Entry> latest = entries.descendingIterator(); latest.hasNext(); ) {
            Entry entry = latest.next();
            if (entry.at.isBefore(first)) {
                break;
            }
            total += entry.units;
        }
        return Math.max(0, total);
    }
}
