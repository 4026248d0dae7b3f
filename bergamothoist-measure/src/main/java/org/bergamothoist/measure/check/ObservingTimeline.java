package org.bergamothoist.measure.check;

import java.time.InstantSource;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.timeline.BoundedTimeline;
import org.bergamothoist.core.timeline.Event;
import org.bergamothoist.core.timeline.EventKind;
import org.bergamothoist.core.timeline.Timeline;
import org.bergamothoist.core.timeline.Timestamp;

/** A node's timeline, whose events the oracles see. */
final class ObservingTimeline implements Timeline {

    private static final int CAPACITY = 16;

    private static final Set<EventKind> NOTED =
            EnumSet.of(
                    EventKind.REQUEST_DISPATCHED,
                    EventKind.STREAM_CONTINUED,
                    EventKind.STREAM_RESUMED,
                    EventKind.ENGINE_LOST,
                    EventKind.CLAIM_GRANTED,
                    EventKind.CLAIM_REFUSED,
                    EventKind.SHEET_APPLIED,
                    EventKind.CONFIGURATION_STALE,
                    EventKind.CONFIGURATION_FRESH,
                    EventKind.TARGET_LEAVING,
                    EventKind.LEASE_ACQUIRED,
                    EventKind.ORDER_SENT,
                    EventKind.REQUEST_QUARANTINED);

    private final DaemonId daemon;
    private final RunLog log;
    private final CacheOracle cacheOracle;
    private final Timeline timeline;

    ObservingTimeline(DaemonId daemon, InstantSource clock, RunLog log, CacheOracle cacheOracle) {
        this.daemon = daemon;
        this.log = log;
        this.cacheOracle = cacheOracle;
        this.timeline = new BoundedTimeline(daemon, clock, CAPACITY);
    }

    @Override
    public void record(EventKind kind, String subject, String detail) {
        timeline.record(kind, subject, detail);
        if (kind == EventKind.INVARIANT_VIOLATED) {
            log.violated(Property.INTERNAL_INVARIANT, daemon + " " + subject + ": " + detail);
        } else if (kind == EventKind.REQUEST_DISPATCHED) {
            cacheOracle.dispatched(detail);
        }
        if (NOTED.contains(kind)) {
            log.note(daemon + " " + kind + " " + subject + " " + detail);
        }
    }

    @Override
    public Timestamp nextTimestamp() {
        return timeline.nextTimestamp();
    }

    @Override
    public void observe(Timestamp remote) {
        timeline.observe(remote);
    }

    @Override
    public List<Event> eventsAfter(Timestamp timestamp) {
        return timeline.eventsAfter(timestamp);
    }
}
