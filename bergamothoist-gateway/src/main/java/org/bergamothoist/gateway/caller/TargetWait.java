package org.bergamothoist.gateway.caller;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.bergamothoist.core.time.Scheduler;

/** The wait of a started stream for a target that takes it. Confined to the event loop. */
final class TargetWait {

    /** Maximum time without events; callers leave after two seconds at the earliest. */
    private static final Duration MAXIMUM_TIME = Duration.ofSeconds(1);

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

    private final Scheduler scheduler;
    private final InstantSource clock;

    /** When the wait began, or null if the stream has a target. */
    private Instant since;

    TargetWait(Scheduler scheduler, InstantSource clock) {
        this.scheduler = scheduler;
        this.clock = clock;
    }

    /** Schedules the next look for a target; returns false if the wait has lasted too long. */
    boolean schedule(Runnable lookForTarget) {
        Instant now = clock.instant();
        if (since == null) {
            since = now;
        }
        boolean waiting = now.isBefore(since.plus(MAXIMUM_TIME));
        if (waiting) {
            scheduler.schedule(CHECK_INTERVAL, lookForTarget);
        }
        return waiting;
    }

    /** Returns whether no target has gone on with the stream since the wait began. */
    boolean isWaiting() {
        return since != null;
    }

    /** Notes that a target has gone on with the stream. */
    void end() {
        since = null;
    }
}
