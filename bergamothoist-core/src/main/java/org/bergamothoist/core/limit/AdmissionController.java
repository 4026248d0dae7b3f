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
 * Admission control: enforces the organisations' limits, queues requests while no target has
 * capacity, shares capacity fairly by estimated tokens, and refuses requests early that cannot meet
 * their deadlines. Organisations are served in weighted fair order; priorities order the requests
 * within an organisation. Confined to the control thread.
 */
public final class AdmissionController {

    private static final Duration EXPIRY_CHECK_INTERVAL = Duration.ofMillis(50);
    private static final double MILLISECONDS_PER_SECOND = 1000.0;

    /** Weight of a new observation in the exponential moving average of the time to first token. */
    private static final double FIRST_TOKEN_SMOOTHING = 0.05;

    private final AdmissionSettings settings;
    private final AdmissionLimits limits;
    private final InstantSource clock;
    private final Scheduler scheduler;
    private final Map<ModelKey, ModelQueue> queuesByModel = new LinkedHashMap<>();
    private final Map<OrganisationId, OrganisationUsage> usageByOrganisation = new HashMap<>();
    private int queued;
    private boolean expiryCheckScheduled;
    private boolean dispatching;
    private boolean dispatchAgain;
    private double averageFirstTokenSeconds;

    /** Creates a controller with empty queues. */
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

    /** Returns the number of the organisation's dispatched requests that are not closed. */
    public int running(OrganisationId organisation) {
        OrganisationUsage usage = usageByOrganisation.get(organisation);
        return usage == null ? 0 : usage.running;
    }

    /**
     * Submits a request. The handler is called within this call if the request can be dispatched or
     * refused immediately, otherwise later.
     */
    public AdmissionTicket submit(AdmissionRequest request, AdmissionHandler handler) {
        Instant now = clock.instant();
        QueuedRequest entry = new QueuedRequest(this, request, handler, now);
        ModelQueue modelQueue =
                queuesByModel.computeIfAbsent(request.modelKey(), key -> new ModelQueue(now));
        OrganisationLimits organisationLimits = limits.limits(request.organisation());
        if (!tryTakeRateToken(request.organisation(), organisationLimits, now)) {
            return refuse(entry, ErrorCode.LIMIT_EXCEEDED, "the rate limit is exhausted");
        }
        if (missesDeadline(
                request, predictedWaitSeconds(modelQueue, request, organisationLimits), now)) {
            return refuse(
                    entry,
                    ErrorCode.DEADLINE_UNREACHABLE,
                    "the deadline would pass before the first token");
        }
        if (!ensureQueueCapacity(modelQueue, request)) {
            return refuse(entry, ErrorCode.LIMIT_EXCEEDED, "the queue is full");
        }
        modelQueue.drainRate.advance(now, !modelQueue.fairQueue.active().isEmpty());
        modelQueue.fairQueue.add(entry);
        queued++;
        dispatchQueued();
        scheduleExpiryCheck();
        return entry;
    }

    /**
     * Records the time from dispatch to first token of a request, from which reachable deadlines
     * are predicted.
     */
    public void onFirstToken(Duration sinceDispatch) {
        double seconds = sinceDispatch.toMillis() / MILLISECONDS_PER_SECOND;
        averageFirstTokenSeconds += FIRST_TOKEN_SMOOTHING * (seconds - averageFirstTokenSeconds);
    }

    /**
     * Dispatches queued requests as capacity allows; to be called when a target may have capacity
     * again.
     */
    public void dispatchQueued() {
        if (dispatching) {
            dispatchAgain = true;
            return;
        }
        dispatching = true;
        try {
            do {
                dispatchAgain = false;
                List.copyOf(queuesByModel.values()).forEach(this::dispatchQueued);
            } while (dispatchAgain);
        } finally {
            dispatching = false;
        }
    }

    private void dispatchQueued(ModelQueue modelQueue) {
        modelQueue.drainRate.advance(clock.instant(), !modelQueue.fairQueue.active().isEmpty());
        while (dispatchOne(modelQueue)) {
            // Each dispatch changes the fair order, so the search restarts.
            continue;
        }
    }

    private boolean dispatchOne(ModelQueue modelQueue) {
        int headsTried = 0;
        for (OrganisationQueue<OrganisationId, QueuedRequest> queue :
                List.copyOf(modelQueue.fairQueue.active())) {
            if (headsTried == settings.maximumHeadsTried()) {
                return false;
            }
            if (queue.size() == 0 || atConcurrencyLimit(queue.organisation())) {
                continue;
            }
            headsTried++;
            if (dispatch(modelQueue, queue.head())) {
                return true;
            }
        }
        return false;
    }

    private boolean dispatch(ModelQueue modelQueue, QueuedRequest entry) {
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
        modelQueue.fairQueue.removeDispatched(
                entry, limits.limits(request.organisation()).weight());
        modelQueue.drainRate.addDrained(request.estimatedTokens());
        queued--;
        usageOf(request.organisation(), clock.instant()).running++;
        return true;
    }

    void close(QueuedRequest entry) {
        QueuedRequest.State previousState = entry.state();
        entry.state(QueuedRequest.State.CLOSED);
        AdmissionRequest request = entry.request();
        if (previousState == QueuedRequest.State.RUNNING) {
            usageOf(request.organisation(), clock.instant()).running--;
            dispatchQueued();
        } else if (previousState != QueuedRequest.State.CLOSED
                && queuesByModel.get(request.modelKey()).fairQueue.remove(entry)) {
            queued--;
        }
    }

    private void scheduleExpiryCheck() {
        if (expiryCheckScheduled || queued == 0) {
            return;
        }
        expiryCheckScheduled = true;
        scheduler.schedule(EXPIRY_CHECK_INTERVAL, this::refuseExpired);
    }

    private void refuseExpired() {
        expiryCheckScheduled = false;
        Instant now = clock.instant();
        List<QueuedRequest> expired = new ArrayList<>();
        for (ModelQueue modelQueue : queuesByModel.values()) {
            for (OrganisationQueue<OrganisationId, QueuedRequest> queue :
                    modelQueue.fairQueue.active()) {
                queue.forEach(
                        entry -> {
                            if (isExpired(entry, now)) {
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
                            "no target had capacity before the deadline");
        }
        dispatchQueued();
        scheduleExpiryCheck();
    }

    private boolean isExpired(QueuedRequest entry, Instant now) {
        Instant latest = entry.submittedAt().plus(settings.maximumQueueingTime());
        return now.isAfter(latest) || missesDeadline(entry.request(), 0, now);
    }

    private boolean missesDeadline(AdmissionRequest request, double waitSeconds, Instant now) {
        if (request.deadline().isEmpty()) {
            return false;
        }
        double millisecondsToFirstToken =
                (waitSeconds + averageFirstTokenSeconds) * MILLISECONDS_PER_SECOND;
        return now.plusMillis(Math.round(millisecondsToFirstToken))
                .isAfter(request.deadline().get());
    }

    /**
     * Returns the predicted seconds that a new request would wait, from the rate at which the queue
     * drains.
     */
    private double predictedWaitSeconds(
            ModelQueue modelQueue,
            AdmissionRequest request,
            OrganisationLimits organisationLimits) {
        double queuedTokens = 0;
        long totalWeight = 0;
        for (OrganisationQueue<OrganisationId, QueuedRequest> queue :
                modelQueue.fairQueue.active()) {
            queuedTokens += queue.costAhead(AdmissionRequest.PRIORITIES - 1);
            totalWeight += limits.limits(queue.organisation()).weight();
        }
        if (queuedTokens == 0) {
            return 0;
        }
        double ownTokensAhead =
                modelQueue.fairQueue.queueOf(request.organisation()).costAhead(request.priority());
        int weight = Math.max(1, organisationLimits.weight());
        double fairShareTokens =
                (ownTokensAhead + request.estimatedTokens())
                        * Math.max(weight, totalWeight)
                        / weight;
        return modelQueue.drainRate.secondsFor(Math.min(queuedTokens, fairShareTokens));
    }

    /**
     * Ensures that one more request can be queued, if necessary by refusing the newest, least
     * urgent request of the longest queue.
     *
     * @return false if the new request must be refused instead
     */
    private boolean ensureQueueCapacity(ModelQueue modelQueue, AdmissionRequest request) {
        OrganisationQueue<OrganisationId, QueuedRequest> own =
                modelQueue.fairQueue.queueOf(request.organisation());
        if (own.size(request.priority()) >= settings.maximumQueuedPerPriority()) {
            return false;
        }
        if (queued < settings.maximumQueued()) {
            return true;
        }
        OrganisationQueue<OrganisationId, QueuedRequest> longest =
                queuesByModel.values().stream()
                        .flatMap(each -> each.fairQueue.active().stream())
                        .max(Comparator.comparingDouble(this::weightedLength))
                        .orElseThrow();
        if (weightedLength(longest) <= weightedLength(own)) {
            return false;
        }
        QueuedRequest victim = longest.tail();
        close(victim);
        victim.handler().refuse(ErrorCode.LIMIT_EXCEEDED, "the queue is full");
        return true;
    }

    private double weightedLength(OrganisationQueue<OrganisationId, QueuedRequest> queue) {
        return (double) queue.size() / Math.max(1, limits.limits(queue.organisation()).weight());
    }

    /**
     * Takes a token from the organisation's rate limit bucket. The refill rate is this daemon's
     * share of the limit, but the burst is one second of the whole limit: the share of a small
     * limit can be below one request per second, and callers do not arrive evenly. Within a time of
     * T seconds all n daemons together accept at most T + n seconds' worth of the limit.
     */
    private boolean tryTakeRateToken(
            OrganisationId organisation, OrganisationLimits organisationLimits, Instant now) {
        int limit = organisationLimits.requestsPerSecond();
        double rate = limit * limits.share(organisation);
        return usageOf(organisation, now).bucket.tryTake(rate, Math.max(1, limit), now);
    }

    private boolean atConcurrencyLimit(OrganisationId organisation) {
        double share = limits.limits(organisation).concurrentStreams() * limits.share(organisation);
        return running(organisation) >= Math.max(1, (int) share);
    }

    private static AdmissionTicket refuse(QueuedRequest entry, ErrorCode code, String message) {
        entry.state(QueuedRequest.State.CLOSED);
        entry.handler().refuse(code, message);
        return entry;
    }

    private OrganisationUsage usageOf(OrganisationId organisation, Instant now) {
        return usageByOrganisation.computeIfAbsent(organisation, key -> new OrganisationUsage(now));
    }

    private static final class ModelQueue {
        private final FairQueue<OrganisationId, QueuedRequest> fairQueue = new FairQueue<>();
        private final DrainRate drainRate;

        private ModelQueue(Instant now) {
            drainRate = new DrainRate(now);
        }
    }

    private static final class OrganisationUsage {
        private final TokenBucket bucket;
        private int running;

        private OrganisationUsage(Instant now) {
            bucket = new TokenBucket(now);
        }
    }
}
