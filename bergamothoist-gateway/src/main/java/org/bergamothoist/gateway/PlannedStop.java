package org.bergamothoist.gateway;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.caller.CallerServer;

/**
 * Ends a daemon's work on callers' requests within the grace period of a stop signal. Confined to
 * the event loop.
 */
final class PlannedStop {

    /** Time after the signal to stop in which requests are still taken: callers keep answers. */
    private static final Duration STILL_ACCEPTING = Duration.ofMillis(3_000);

    /** Part of the grace in which requests are still taken at most, so that these can end. */
    private static final double STILL_ACCEPTING_SHARE = 0.4;

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    /** Time before the kill at which the daemon ends whatever is in progress. */
    private static final Duration STOP_MARGIN = Duration.ofMillis(400);

    private static final Duration STOP_CHECK = Duration.ofMillis(100);

    /**
     * Time before the end from which the kernel takes over what slow readers have not received:
     * several checks, so that a busy event loop also gets to hand it over.
     */
    private static final Duration HAND_OVER = STOP_CHECK.multipliedBy(5);

    private final DaemonId self;
    private final double graceSeconds;
    private final CallerServer callers;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final DecisionLog log;
    private Runnable onStopped = () -> {};
    private boolean refusing;
    private Instant endsAt;

    PlannedStop(
            DaemonId self,
            double graceSeconds,
            CallerServer callers,
            Scheduler scheduler,
            InstantSource clock,
            DecisionLog log) {
        this.self = self;
        this.graceSeconds = graceSeconds;
        this.callers = callers;
        this.scheduler = scheduler;
        this.clock = clock;
        this.log = log;
    }

    /** Returns whether new requests are refused. */
    boolean isRefusing() {
        return refusing;
    }

    /** Returns when whatever is in progress ends, or empty before the signal to stop. */
    Optional<Instant> endsAt() {
        return Optional.ofNullable(endsAt);
    }

    /**
     * Begins the stop.
     *
     * @param whenStopped called once nothing is in progress or the grace period ends
     */
    void begin(Runnable whenStopped) {
        onStopped = whenStopped;
        endsAt = clock.instant().plus(grace(1)).minus(STOP_MARGIN);
        log.write(
                DecisionKind.DAEMON_STOPPING,
                self.toString(),
                () -> "requests=" + callers.busyConnections(),
                "not ready");
        Duration share = grace(STILL_ACCEPTING_SHARE);
        scheduler.schedule(
                share.compareTo(STILL_ACCEPTING) < 0 ? share : STILL_ACCEPTING,
                () -> {
                    refusing = true;
                    callers.stopListening();
                    finish();
                });
    }

    private Duration grace(double share) {
        double milliseconds = graceSeconds * MILLISECONDS_PER_SECOND * share;
        return Duration.ofMillis(Math.round(milliseconds));
    }

    private void finish() {
        callers.refuseRequestsThatCannotEnd();
        boolean late = !clock.instant().isBefore(endsAt);
        long busy = callers.busyConnections();
        if (!clock.instant().isBefore(endsAt.minus(HAND_OVER))) {
            callers.raiseSendBuffers();
        }
        if (busy > 0 && !late) {
            scheduler.schedule(STOP_CHECK, this::finish);
            return;
        }
        callers.abortConnections();
        log.write(
                DecisionKind.DAEMON_STOPPED, self.toString(), () -> "requests=" + busy, "stopped");
        onStopped.run();
    }
}
