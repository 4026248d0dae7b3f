package org.bergamothoist.gateway;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
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

    private final DaemonId self;
    private final double graceSeconds;
    private final CallerServer callers;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final DecisionLog log;
    private Runnable onStopped = () -> {};
    private boolean refusing;
    private Instant endsAt;
    private SortedMap<String, Long> endingsBefore = new TreeMap<>();

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
        endingsBefore = callers.endings();
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
        if (busy > 0 && !late) {
            scheduler.schedule(STOP_CHECK, this::finish);
            return;
        }
        long pipelined = callers.pipelinedRequests();
        long partialHeads = callers.connectionsWithPartialHead();
        long graceLeft = Duration.between(clock.instant(), endsAt).toMillis();
        long cut = callers.abortConnections();
        log.write(
                DecisionKind.DAEMON_STOPPED,
                self.toString(),
                () ->
                        "requests="
                                + busy
                                + " cut="
                                + cut
                                + " pipelined="
                                + pipelined
                                + " partial-heads="
                                + partialHeads
                                + " grace-left="
                                + graceLeft
                                + describeEndings(),
                "stopped");
        onStopped.run();
    }

    /** Describes how many requests have ended since the signal to stop, by outcome. */
    private String describeEndings() {
        return callers.endings().entrySet().stream()
                .map(
                        ending ->
                                Map.entry(
                                        ending.getKey(),
                                        ending.getValue()
                                                - endingsBefore.getOrDefault(ending.getKey(), 0L)))
                .filter(ending -> ending.getValue() > 0)
                .map(ending -> " " + ending.getKey() + "=" + ending.getValue())
                .collect(Collectors.joining());
    }
}
