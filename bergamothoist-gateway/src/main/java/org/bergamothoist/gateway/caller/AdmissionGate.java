package org.bergamothoist.gateway.caller;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import org.bergamothoist.core.admission.AdmissionQueue;
import org.bergamothoist.core.admission.AdmissionTicket;
import org.bergamothoist.core.admission.Refusal;
import org.bergamothoist.core.admission.ServiceTimes;
import org.bergamothoist.core.admission.TargetRoom;
import org.bergamothoist.core.admission.WaitHandler;
import org.bergamothoist.core.admission.WaitRequest;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.relay.AdmissionPolicy;
import org.bergamothoist.core.route.Organisation;
import org.bergamothoist.core.route.Route;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.state.ClusterView;

/**
 * Applies the admission of {@link AdmissionQueue} to the requests of callers, or refuses what an
 * engine cannot begin with in time if requests may not wait. Confined to the event loop.
 */
public final class AdmissionGate {

    /** Work that a request is assumed to cause until the first response of its route has ended. */
    private static final Duration TIME_WITHOUT_ESTIMATE = Duration.ofMillis(500);

    private final boolean queueing;
    private final AdmissionQueue queue;
    private final TargetRoom room;
    private final AdmissionPolicy policy;
    private final ServiceTimes timesByRoute = new ServiceTimes();
    private final ServiceTimes slotTimesByService = new ServiceTimes();

    /**
     * Creates a gate before which nothing waits yet.
     *
     * @param queueing whether requests may wait
     * @param daemons number of daemons that take callers' requests
     * @param stopping whether the daemon is stopping
     */
    public AdmissionGate(
            boolean queueing,
            ClusterView clusterView,
            ActiveAttempts attempts,
            IntSupplier daemons,
            BooleanSupplier stopping,
            Scheduler scheduler,
            InstantSource clock,
            DoubleSupplier random,
            MetricRegistry metrics) {
        this.queueing = queueing;
        this.room = new TargetRoom(clusterView.targets(), clusterView.targetStates(), clock);
        this.queue = new AdmissionQueue(room::freeSlots, daemons, stopping, clock, scheduler);
        this.policy = new AdmissionPolicy(random);
        attempts.setOnAttemptEnded(queue::onReleased);
        metrics.gauge("requests-waiting", () -> queue::waiting);
    }

    /** Returns whether requests may wait; if not, they are sent or refused at once. */
    boolean isQueueing() {
        return queueing;
    }

    /**
     * Returns the refusal of a request that may not wait and whose engine is too busy, or empty if
     * it is sent. Plain services have no predicted delay and refuse by themselves.
     */
    Optional<Refusal> refusalAtOnce(RequestContext request, TargetSelector.Selection selection) {
        Duration delay = selection.queueingDelay();
        return policy.retryAfter(request.route(), delay, selection.forwarding().priority())
                .map(
                        retryAfter ->
                                new Refusal(
                                        ErrorCode.LIMIT_EXCEEDED,
                                        "the least loaded engine is busy for "
                                                + delay.toMillis()
                                                + " ms",
                                        retryAfter));
    }

    /** Sends a request now, lets it wait for a target with room, or refuses it. */
    AdmissionTicket submit(RequestContext request, String service, WaitHandler handler) {
        Optional<Duration> usualTime = timesByRoute.median(request.route().name());
        return queue.submit(
                new WaitRequest(
                        service,
                        request.organisation().map(Organisation::name).orElse(""),
                        TargetSelector.priority(request),
                        Math.max(1, usualTime.orElse(TIME_WITHOUT_ESTIMATE).toMillis()),
                        request.responseDeadline().minus(usualTime.orElse(Duration.ZERO)),
                        request.responseDeadline()),
                handler);
    }

    /**
     * Returns whether the selected target begins with the request in time.
     *
     * @param overtaking whether the request need not leave room for more urgent ones
     */
    boolean hasRoom(
            RequestContext request, TargetSelector.Selection selection, boolean overtaking) {
        String service = selection.target().service();
        List<Route> moreUrgent = overtaking ? List.of() : request.configuration().routes();
        Duration longestWait =
                policy.longestWait(
                        moreUrgent, request.route(), service, selection.forwarding().priority());
        return isPlain(selection)
                ? room.hasRoom(selection.target(), slotTimesByService.median(service), longestWait)
                : selection.queueingDelay().compareTo(longestWait) <= 0;
    }

    /** Returns whether a request that is sent to the target now gets a slot at once. */
    boolean hasFreeSlot(TargetSelector.Selection selection) {
        return room.hasFreeSlot(selection.target());
    }

    /**
     * Records the time of a complete response.
     *
     * @param queued whether the request may have been queued at its target
     */
    void recordTime(RequestContext request, String service, Duration sinceSend, boolean queued) {
        timesByRoute.add(request.route().name(), sinceSend);
        if (!queued) {
            slotTimesByService.add(service, sinceSend);
        }
    }

    private static boolean isPlain(TargetSelector.Selection selection) {
        return selection.forwarding().scope().isEmpty();
    }
}
