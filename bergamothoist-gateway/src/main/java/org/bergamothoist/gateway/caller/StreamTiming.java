package org.bergamothoist.gateway.caller;

import java.time.Duration;
import java.time.Instant;
import org.bergamothoist.core.route.Route;

/**
 * Compares the times of one stream's events with the objectives of its route, across all targets
 * that the stream runs at. Confined to the event loop.
 */
final class StreamTiming {

    private final RelayMetrics metrics;
    private final Route route;
    private final Instant arrivedAt;
    private Instant lastEventAt;
    private boolean firstEventLate;
    private boolean gapLate;

    /**
     * Creates the timing of a stream without events.
     *
     * @param arrivedAt arrival of the caller's request
     */
    StreamTiming(RelayMetrics metrics, Route route, Instant arrivedAt) {
        this.metrics = metrics;
        this.route = route;
        this.arrivedAt = arrivedAt;
    }

    /**
     * Records that events were relayed to the caller.
     *
     * @param priority priority of the request, by which streams are counted
     */
    void onEvents(int priority, Instant now) {
        if (lastEventAt == null) {
            Duration firstEvent = Duration.between(arrivedAt, now);
            firstEventLate = isLonger(firstEvent, route.latencyObjective());
            metrics.countStream(priority, "started");
            metrics.recordFirstEvent(priority, firstEvent);
            if (firstEventLate) {
                metrics.countStream(priority, "late-first-event");
            }
        } else if (!gapLate
                && isLonger(Duration.between(lastEventAt, now), route.longestEventGap())) {
            gapLate = true;
            metrics.countStream(
                    priority, firstEventLate ? "late-first-event-and-gap" : "late-gap-only");
        }
        lastEventAt = now;
    }

    /** An objective of zero is one that the route does not state. */
    private static boolean isLonger(Duration measured, Duration objective) {
        return !objective.isZero() && measured.compareTo(objective) > 0;
    }
}
