package org.bergamothoist.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.sheet.OrganisationLimits;
import org.bergamothoist.core.time.Scheduler;

/**
 * Admits requests: enforces the organisations' limits, queues what no target has room for, shares
 * room fairly by estimated tokens, and refuses early what cannot meet its deadline. Organisations
 * are served in fair order; priorities order the requests of one organisation. Confined to the
 * control thread.
 */
public final class AdmissionController {

    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(50);
    private static final double MILLISECONDS_PER_SECOND = 1000.0;

    /** Weight of a new observation in the average time to first token. */
    private static final double FIRST_TOKEN_SMOOTHING = 0.05;

    private final AdmissionSettings settings;
    private final AdmissionLimits limits;
    private final InstantSource clock;
    private final Scheduler scheduler;
    private final Map<ModelKey, Lane> lanes = new LinkedHashMap<>();
    private final Map<OrganisationId, OrganisationUse> uses = new HashMap<>();
    private int queued;
    private boolean sweepScheduled;
    private boolean pumping;
    private boolean pumpAgain;
    private double firstTokenSeconds;

    /** Creates a controller without requests. */
    public AdmissionController(
            AdmissionSettings settings,
            AdmissionLimits limits,
            InstantSource clock,
            Scheduler scheduler) {
        this.settings = settings;
        this.limits = limits;
        this.clock = clock;
        this.scheduler = scheduler;
    }

    /** Returns the number of queued requests. */
    public int queued() {
        return queued;
    }

    /** Returns the organisation's dispatched requests that were not closed. */
    public int running(OrganisationId organisation) {
        OrganisationUse use = uses.get(organisation);
        return use == null ? 0 : use.running;
    }

    /**
     * Submits a request. The handler is called during this call if the request can be dispatched or
     * must be refused at once, otherwise later.
     */
    public AdmissionTicket submit(AdmissionRequest request, AdmissionHandler handler) {
        Instant now = clock.instant();
        QueuedRequest entry = new QueuedRequest(this, request, handler, now);
        Lane lane = lanes.computeIfAbsent(request.modelKey(), key -> new Lane(now));
        OrganisationLimits organisationLimits = limits.limits(request.organisation());
        if (!takeRate(request.organisation(), organisationLimits, now)) {
            return refused(entry, ErrorCode.LIMIT_EXCEEDED, "the rate limit is exhausted");
        }
        if (unreachable(request, predictedWait(lane, request, organisationLimits), now)) {
            return refused(
                    entry,
                    ErrorCode.DEADLINE_UNREACHABLE,
                    "the deadline would pass before the first token");
        }
        if (!makeRoom(lane, request)) {
            return refused(entry, ErrorCode.LIMIT_EXCEEDED, "the queue is full");
        }
        lane.rate.advance(now, !lane.queue.active().isEmpty());
        lane.queue.add(entry);
        queued++;
        pump();
        scheduleSweep();
        return entry;
    }

    /** Takes the time from dispatch to first token of a request, for deadlines. */
    public void onFirstToken(Duration sinceDispatch) {
        double seconds = sinceDispatch.toMillis() / MILLISECONDS_PER_SECOND;
        firstTokenSeconds += FIRST_TOKEN_SMOOTHING * (seconds - firstTokenSeconds);
    }

    /** Offers queued requests for dispatch; to be called when a target may have room again. */
    public void pump() {
        if (pumping) {
            pumpAgain = true;
            return;
        }
        pumping = true;
        try {
            do {
                pumpAgain = false;
                List.copyOf(lanes.values()).forEach(this::pumpLane);
            } while (pumpAgain);
        } finally {
            pumping = false;
        }
    }

    private void pumpLane(Lane lane) {
        lane.rate.advance(clock.instant(), !lane.queue.active().isEmpty());
        while (dispatchOne(lane)) {
            // Each dispatch changes the fair order, so the search starts again.
            continue;
        }
    }

    private boolean dispatchOne(Lane lane) {
        int tried = 0;
        for (OrganisationQueue queue : List.copyOf(lane.queue.active())) {
            if (tried == settings.headsTried()) {
                return false;
            }
            if (queue.size() == 0 || atConcurrencyLimit(queue.organisation())) {
                continue;
            }
            tried++;
            if (dispatch(lane, queue.head())) {
                return true;
            }
        }
        return false;
    }

    private boolean dispatch(Lane lane, QueuedRequest entry) {
        entry.state(QueuedRequest.State.DISPATCHING);
        boolean dispatched = entry.handler().tryDispatch();
        if (entry.state() == QueuedRequest.State.CLOSED) {
            return true;
        }
        if (!dispatched) {
            entry.state(QueuedRequest.State.QUEUED);
            return false;
        }
        AdmissionRequest request = entry.request();
        entry.state(QueuedRequest.State.RUNNING);
        lane.queue.removeDispatched(entry, limits.limits(request.organisation()).weight());
        lane.rate.drained(request.estimatedTokens());
        queued--;
        use(request.organisation(), clock.instant()).running++;
        return true;
    }

    void close(QueuedRequest entry) {
        QueuedRequest.State before = entry.state();
        entry.state(QueuedRequest.State.CLOSED);
        AdmissionRequest request = entry.request();
        if (before == QueuedRequest.State.RUNNING) {
            use(request.organisation(), clock.instant()).running--;
            pump();
        } else if (before != QueuedRequest.State.CLOSED
                && lanes.get(request.modelKey()).queue.remove(entry)) {
            queued--;
        }
    }

    private void scheduleSweep() {
        if (sweepScheduled || queued == 0) {
            return;
        }
        sweepScheduled = true;
        scheduler.schedule(SWEEP_INTERVAL, this::sweep);
    }

    private void sweep() {
        sweepScheduled = false;
        Instant now = clock.instant();
        List<QueuedRequest> expired = new ArrayList<>();
        for (Lane lane : lanes.values()) {
            for (OrganisationQueue queue : lane.queue.active()) {
                queue.forEach(
                        entry -> {
                            if (expired(entry, now)) {
                                expired.add(entry);
                            }
                        });
            }
        }
        for (QueuedRequest entry : expired) {
            close(entry);
            entry.handler()
                    .refuse(
                            ErrorCode.DEADLINE_UNREACHABLE,
                            "no target had room before the deadline");
        }
        pump();
        scheduleSweep();
    }

    private boolean expired(QueuedRequest entry, Instant now) {
        Instant latest = entry.submittedAt().plus(settings.maximumQueueingTime());
        return now.isAfter(latest) || unreachable(entry.request(), 0, now);
    }

    private boolean unreachable(AdmissionRequest request, double waitSeconds, Instant now) {
        if (request.deadline().isEmpty()) {
            return false;
        }
        double needed = (waitSeconds + firstTokenSeconds) * MILLISECONDS_PER_SECOND;
        return now.plusMillis(Math.round(needed)).isAfter(request.deadline().get());
    }

    /** Returns the seconds that a new request would wait by the rate at which the queue drains. */
    private double predictedWait(
            Lane lane, AdmissionRequest request, OrganisationLimits organisationLimits) {
        double all = 0;
        long weights = 0;
        for (OrganisationQueue queue : lane.queue.active()) {
            all += queue.tokensAhead(AdmissionRequest.PRIORITIES - 1);
            weights += limits.limits(queue.organisation()).weight();
        }
        if (all == 0) {
            return 0;
        }
        double own = lane.queue.queue(request.organisation()).tokensAhead(request.priority());
        int weight = Math.max(1, organisationLimits.weight());
        double fair = (own + request.estimatedTokens()) * Math.max(weight, weights) / weight;
        return lane.rate.secondsFor(Math.min(all, fair));
    }

    /** Makes room for one more request, if necessary at the cost of the longest queue. */
    private boolean makeRoom(Lane lane, AdmissionRequest request) {
        OrganisationQueue own = lane.queue.queue(request.organisation());
        if (own.size(request.priority()) >= settings.maximumQueuedPerPriority()) {
            return false;
        }
        if (queued < settings.maximumQueued()) {
            return true;
        }
        OrganisationQueue longest =
                lanes.values().stream()
                        .flatMap(each -> each.queue.active().stream())
                        .max(Comparator.comparingDouble(this::weightedSize))
                        .orElseThrow();
        if (weightedSize(longest) <= weightedSize(own)) {
            return false;
        }
        QueuedRequest victim = longest.tail();
        close(victim);
        victim.handler().refuse(ErrorCode.LIMIT_EXCEEDED, "the queue is full");
        return true;
    }

    private double weightedSize(OrganisationQueue queue) {
        return (double) queue.size() / Math.max(1, limits.limits(queue.organisation()).weight());
    }

    /**
     * Refills at this daemon's share, but saves up a second of the organisation's whole limit: a
     * share of a small limit is below one request a second, and callers do not arrive evenly. Over
     * a time T all n daemons together accept at most T + n seconds' worth of the limit.
     */
    private boolean takeRate(
            OrganisationId organisation, OrganisationLimits organisationLimits, Instant now) {
        int limit = organisationLimits.requestsPerSecond();
        double rate = limit * limits.share(organisation);
        return use(organisation, now).bucket.tryTake(rate, Math.max(1, limit), now);
    }

    private boolean atConcurrencyLimit(OrganisationId organisation) {
        double share = limits.limits(organisation).concurrentStreams() * limits.share(organisation);
        return running(organisation) >= Math.max(1, (int) share);
    }

    private static AdmissionTicket refused(QueuedRequest entry, ErrorCode code, String message) {
        entry.state(QueuedRequest.State.CLOSED);
        entry.handler().refuse(code, message);
        return entry;
    }

    private OrganisationUse use(OrganisationId organisation, Instant now) {
        return uses.computeIfAbsent(organisation, key -> new OrganisationUse(now));
    }

    private static final class Lane {
        private final FairQueue queue = new FairQueue();
        private final DrainRate rate;

        private Lane(Instant now) {
            rate = new DrainRate(now);
        }
    }

    private static final class OrganisationUse {
        private final TokenBucket bucket;
        private int running;

        private OrganisationUse(Instant now) {
            bucket = new TokenBucket(now);
        }
    }
}
