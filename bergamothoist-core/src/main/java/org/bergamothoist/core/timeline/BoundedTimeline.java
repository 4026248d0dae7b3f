package org.bergamothoist.core.timeline;

import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import org.bergamothoist.core.identity.DaemonId;

/** Keeps the newest events of one process in memory. Safe for use by several threads. */
public final class BoundedTimeline implements Timeline {

    /** Number of events kept by default, a few MB at most. */
    public static final int DEFAULT_CAPACITY = 10_000;

    /** Longest detail kept, in characters, so that the buffer's memory is bounded. */
    private static final int MAXIMUM_DETAIL_LENGTH = 400;

    /** Every so many refused stamps are recorded, so that they do not displace other events. */
    private static final long REFUSALS_FOR_EACH_EVENT = 1_000;

    private final DaemonId daemon;
    private final HybridLogicalClock clock;
    private final int capacity;
    private final Deque<Event> events = new ArrayDeque<>();
    private long rejectedTimestamps;

    /** Creates a timeline of {@link #DEFAULT_CAPACITY} events. */
    public BoundedTimeline(DaemonId daemon, InstantSource wallClock) {
        this(daemon, wallClock, DEFAULT_CAPACITY);
    }

    /**
     * Creates a timeline.
     *
     * @param capacity number of events kept, at least 1
     */
    public BoundedTimeline(DaemonId daemon, InstantSource wallClock, int capacity) {
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity must be at least 1");
        }
        this.daemon = Objects.requireNonNull(daemon);
        this.clock = new HybridLogicalClock(wallClock);
        this.capacity = capacity;
    }

    @Override
    public synchronized void record(EventKind kind, String subject, String detail) {
        if (events.size() == capacity) {
            events.removeFirst();
        }
        String bounded =
                detail.length() > MAXIMUM_DETAIL_LENGTH
                        ? detail.substring(0, MAXIMUM_DETAIL_LENGTH)
                        : detail;
        events.addLast(new Event(clock.next(), daemon, kind, subject, bounded));
    }

    @Override
    public Timestamp nextTimestamp() {
        return clock.next();
    }

    @Override
    public synchronized void observe(Timestamp remote) {
        if (clock.observe(remote)) {
            return;
        }
        if (rejectedTimestamps++ % REFUSALS_FOR_EACH_EVENT == 0) {
            record(
                    EventKind.CLOCK_LEAD_REFUSED,
                    daemon.name(),
                    "received stamp " + remote.milliseconds() + " ms is too far ahead");
        }
    }

    /** Returns the number of received stamps that were too far ahead to be adopted. */
    public synchronized long rejectedTimestamps() {
        return rejectedTimestamps;
    }

    @Override
    public synchronized List<Event> eventsAfter(Timestamp timestamp) {
        List<Event> result = new ArrayList<>();
        for (Event event : events) {
            if (event.timestamp().compareTo(timestamp) > 0) {
                result.add(event);
            }
        }
        return result;
    }
}
