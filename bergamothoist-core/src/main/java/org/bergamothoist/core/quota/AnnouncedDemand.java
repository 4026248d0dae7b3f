package org.bergamothoist.core.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The demand that this daemon has announced lately. It uses the lowest announced value, which no
 * daemon that hears it takes for more than it is; so the shares of daemons add up to no more than
 * the limit also while demand moves.
 */
final class AnnouncedDemand {

    private final Deque<Announcement> announcements = new ArrayDeque<>();

    private record Announcement(Instant at, double unitsPerSecond) {}

    /** Creates an announcement of no demand. */
    AnnouncedDemand(Instant now) {
        announcements.add(new Announcement(now, 0));
    }

    void announce(double unitsPerSecond, Instant now) {
        while (!announcements.isEmpty()
                && announcements.getLast().unitsPerSecond() >= unitsPerSecond) {
            announcements.removeLast();
        }
        announcements.addLast(new Announcement(now, unitsPerSecond));
    }

    /**
     * Returns the lowest demand announced within a period, or the last one if there was none in it.
     */
    double lowestWithin(Duration period, Instant now) {
        Instant start = now.minus(period);
        while (announcements.size() > 1 && announcements.getFirst().at().isBefore(start)) {
            announcements.removeFirst();
        }
        return announcements.getFirst().unitsPerSecond();
    }
}
