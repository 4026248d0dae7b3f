package org.bergamothoist.gateway;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.caller.CallerServer;

/**
 * Ends a daemon's work on callers' requests within the grace period of a stop signal. Confined to
 * the event loop, but for {@link #request}.
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
    private SortedMap<String, Long> endingsBefore = new TreeMap<>();

    /** When the stop was asked for, on any thread; null before. */
    private final AtomicReference<Instant> requestedAt = new AtomicReference<>();

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
        return after(stillAccepting())
                .filter(refusesFrom -> !clock.instant().isBefore(refusesFrom))
                .isPresent();
    }

    /** Returns when whatever is in progress ends, or empty before the signal to stop. */
    Optional<Instant> endsAt() {
        return after(grace(1).minus(STOP_MARGIN));
    }

    private Optional<Instant> after(Duration duration) {
        return Optional.ofNullable(requestedAt.get()).map(instant -> instant.plus(duration));
    }

    /**
     * Notes that the stop is asked for. The grace and the time for new requests count from now, not
     * from when a busy event loop begins the stop. May be called on any thread.
     */
    void request() {
        requestedAt.compareAndSet(null, clock.instant());
    }

    /**
     * Begins the stop that was asked for.
     *
     * @param whenStopped called once nothing is in progress or the grace period ends
     */
    void begin(Runnable whenStopped) {
        onStopped = whenStopped;
        request();
        endingsBefore = callers.endings();
        log.write(
                DecisionKind.DAEMON_STOPPING,
                self.toString(),
                () -> "requests=" + callers.busyConnections(),
                "not ready");
        Duration elapsed = Duration.between(requestedAt.get(), clock.instant());
        Duration left = stillAccepting().minus(elapsed);
        scheduler.schedule(
                left.isNegative() ? Duration.ZERO : left,
                () -> {
                    callers.stopListening();
                    finish();
                });
    }

    private Duration stillAccepting() {
        Duration share = grace(STILL_ACCEPTING_SHARE);
        return share.compareTo(STILL_ACCEPTING) < 0 ? share : STILL_ACCEPTING;
    }

    private Duration grace(double share) {
        double milliseconds = graceSeconds * MILLISECONDS_PER_SECOND * share;
        return Duration.ofMillis(Math.round(milliseconds));
    }

    private void finish() {
        callers.refuseRequestsThatCannotEnd();
        Instant endsAt = endsAt().orElseThrow();
        boolean late = !clock.instant().isBefore(endsAt);
        long busy = callers.busyConnections();
        if (!clock.instant().isBefore(endsAt.minus(HAND_OVER))) {
            callers.raiseSendBuffers();
        }
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
