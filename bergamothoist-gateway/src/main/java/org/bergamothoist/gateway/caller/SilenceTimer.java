package org.bergamothoist.gateway.caller;

import java.time.Duration;
import java.util.function.Predicate;
import org.bergamothoist.core.route.Route;
import org.bergamothoist.core.time.Scheduler;

/** Notices targets that are silent for too long. Confined to the event loop. */
final class SilenceTimer {

    /**
     * Silence of a target after which a retryable request is sent to another one, as a multiple of
     * the route's latency objective.
     */
    private static final int MAXIMUM_SILENCE_IN_OBJECTIVES = 2;

    /**
     * Time without an event after which a stream is continued at another target, as a multiple of
     * the route's longest gap between events. Callers wait at least eight gaps.
     */
    private static final int MAXIMUM_SILENCE_IN_EVENT_GAPS = 5;

    /**
     * The same for a stream whose target sends events of other streams: an engine that is short of
     * memory pauses single streams, and goes on with them sooner than another one could.
     */
    private static final int MAXIMUM_PAUSE_IN_EVENT_GAPS = 7;

    private final RequestContext request;
    private final ResponseRelay relay;
    private final Predicate<Duration> targetSentBytesWithin;
    private final Runnable onSilent;
    private final Scheduler scheduler;
    private Scheduler.Cancellable timer = () -> {};

    /** Whether the current silence has been extended because the target serves other streams. */
    private boolean pauseAllowed;

    /**
     * Creates a timer that is not started.
     *
     * @param targetSentBytesWithin whether the target sent bytes of any response within a time
     * @param onSilent called when the target has been silent for too long
     */
    SilenceTimer(
            RequestContext request,
            ResponseRelay relay,
            Predicate<Duration> targetSentBytesWithin,
            Runnable onSilent,
            Scheduler scheduler) {
        this.request = request;
        this.relay = relay;
        this.targetSentBytesWithin = targetSentBytesWithin;
        this.onSilent = onSilent;
        this.scheduler = scheduler;
    }

    /** Restarts the timer, if the request may be retried at another target. */
    void restart() {
        timer.cancel();
        if (!request.route().kind().isRetryable()) {
            return;
        }
        pauseAllowed = false;
        timer = scheduler.schedule(maximumSilence(), this::onTimeout);
    }

    void stop() {
        timer.cancel();
    }

    private Duration maximumSilence() {
        Duration eventGap = request.route().longestEventGap();
        return relay.hasRelayedEvents() && !eventGap.isZero()
                ? eventGap.multipliedBy(MAXIMUM_SILENCE_IN_EVENT_GAPS)
                : request.route().latencyObjective().multipliedBy(MAXIMUM_SILENCE_IN_OBJECTIVES);
    }

    private void onTimeout() {
        if (!relay.isWritable()) {
            // The target is not read from until the caller has read what was sent to it.
            restart();
            return;
        }
        Route route = request.route();
        boolean targetAlive =
                route.kind().isStream() && targetSentBytesWithin.test(route.latencyObjective());
        if (targetAlive && !relay.hasRelayedEvents()) {
            restart();
            return;
        }
        if (targetAlive && !pauseAllowed) {
            pauseAllowed = true;
            int gaps = MAXIMUM_PAUSE_IN_EVENT_GAPS - MAXIMUM_SILENCE_IN_EVENT_GAPS;
            timer = scheduler.schedule(route.longestEventGap().multipliedBy(gaps), this::onTimeout);
            return;
        }
        onSilent.run();
    }
}
