package org.bergamothoist.core.timeline;

import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import org.bergamothoist.core.identity.DaemonId;

/** Keeps the newest events of one process in memory. Thread-safe. */
public final class BoundedTimeline implements Timeline {

    /** Default number of events kept, which take a few MB at most. */
    public static final int DEFAULT_CAPACITY = 10_000;

    /** Maximum length of a detail text in characters, which bounds the memory of the buffer. */
    private static final int MAXIMUM_DETAIL_LENGTH = 400;

    /** One event is recorded per this many rejections, so that they do not evict other events. */
    private static final long REJECTIONS_PER_EVENT = 1_000;

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
            throw new IllegalArgumentException("capacity must be at least 1: " + capacity);
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
        String boundedDetail =
                detail.length() > MAXIMUM_DETAIL_LENGTH
                        ? detail.substring(0, MAXIMUM_DETAIL_LENGTH)
                        : detail;
        events.addLast(new Event(clock.next(), daemon, kind, subject, boundedDetail));
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
        if (rejectedTimestamps++ % REJECTIONS_PER_EVENT == 0) {
            record(
                    EventKind.CLOCK_LEAD_REFUSED,
                    daemon.name(),
                    "received timestamp " + remote.milliseconds() + " ms is too far ahead");
        }
    }

    /** Returns the number of received timestamps that were rejected as too far ahead. */
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
