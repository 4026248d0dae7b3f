package org.bergamothoist.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.bergamothoist.core.cache.CacheIndex;
import org.bergamothoist.core.cache.CacheIndexSettings;
import org.bergamothoist.core.cache.CacheSynchroniser;
import org.bergamothoist.core.cache.SynchroniserSettings;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.invariant.InvariantMonitor;
import org.bergamothoist.core.limit.AdmissionController;
import org.bergamothoist.core.limit.AdmissionHandler;
import org.bergamothoist.core.limit.AdmissionLimits;
import org.bergamothoist.core.limit.AdmissionRequest;
import org.bergamothoist.core.limit.AdmissionSettings;
import org.bergamothoist.core.limit.AdmissionTicket;
import org.bergamothoist.core.limit.RetryBudget;
import org.bergamothoist.core.peer.PeerMessage.Outstanding;
import org.bergamothoist.core.placement.EligibleTargets;
import org.bergamothoist.core.placement.LoadEstimator;
import org.bergamothoist.core.placement.LoadSettings;
import org.bergamothoist.core.placement.PlacementDecision;
import org.bergamothoist.core.placement.PlacementPolicy;
import org.bergamothoist.core.placement.PlacementRequest;
import org.bergamothoist.core.placement.PlacementView;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetKind;
import org.bergamothoist.core.sheet.OrganisationLimits;

/** One run of a daemon: real index, load view, admission and policy over fake engines. */
final class FakeDaemon implements PlacementView {

    /** A target whose predicted queueing delay is longer has no room, under every policy. */
    static final Duration MAXIMUM_QUEUEING_DELAY = Duration.ofSeconds(4);

    private static final ModelKey MODEL = new ModelKey("atelier", ModelKey.NO_ADAPTER, "1");
    private static final Duration LOAD_EXPIRY = Duration.ofSeconds(3);
    private static final int UNLIMITED = 1_000_000;
    private static final int ATTEMPTS = 3;

    private final DaemonId id;
    private final RunContext context;
    private final CacheIndex index;
    private final LoadEstimator load;
    private final AdmissionController admission;
    private final CacheSynchroniser synchroniser;
    private final PlacementPolicy policy;
    private final RetryBudget budget = RetryBudget.standard();
    private final Set<TargetId> down = new LinkedHashSet<>();
    private final Set<Call> waiting = new LinkedHashSet<>();
    private EligibleTargets eligible;
    private boolean stopped;

    FakeDaemon(DaemonId id, RunContext context, PlacementPolicy policy, RandomGenerator random) {
        this.id = id;
        this.context = context;
        this.policy = policy;
        VirtualTime time = context.time();
        index = new CacheIndex(CacheIndexSettings.standard(), time, context.invariants());
        EngineProfile profile = context.deployment().engine();
        LoadSettings loadSettings =
                new LoadSettings(
                        profile.prefillTokensPerSecond(),
                        profile.streams(),
                        profile.streamDuration(context.deployment().workload().averageAnswer()),
                        LOAD_EXPIRY);
        load = new LoadEstimator(loadSettings, time);
        admission =
                new AdmissionController(AdmissionSettings.standard(), new NoLimits(), time, time);
        eligible = EligibleTargets.of(context.engines().keySet());
        synchroniser =
                new CacheSynchroniser(
                        SynchroniserSettings.standard(),
                        id,
                        new FakeEngineClient(time, context.engines()),
                        index,
                        this::onReport,
                        time,
                        random);
        synchroniser.setEngines(
                context.engines().keySet().stream().map(FakeDaemon::target).toList());
    }

    private static Target target(TargetId id) {
        return new Target(id, TargetKind.MODEL_ENGINE, "engines", "127.0.0.1", 1, "a");
    }

    DaemonId id() {
        return id;
    }

    @Override
    public EligibleTargets eligible(ModelKey key) {
        return eligible;
    }

    @Override
    public boolean runsSuspect(TargetId target) {
        return false;
    }

    @Override
    public CacheIndex index() {
        return index;
    }

    @Override
    public LoadEstimator load() {
        return load;
    }

    /** Stops; returns the requests that were not dispatched, which callers send again. */
    List<FakeRequest> stop() {
        stopped = true;
        synchroniser.stop();
        List<FakeRequest> requests = new ArrayList<>();
        for (Call call : List.copyOf(waiting)) {
            call.ticket.close();
            requests.add(call.request);
        }
        return requests;
    }

    void submit(FakeRequest request) {
        budget.onRequest();
        Call call = new Call(request);
        waiting.add(call);
        AdmissionRequest admissionRequest =
                new AdmissionRequest(
                        request.organisation(),
                        MODEL,
                        0,
                        request.chain().promptTokens() + request.answerTokens(),
                        Optional.of(Instant.EPOCH.plusMillis(request.deadlineMilliseconds())));
        call.ticket = admission.submit(admissionRequest, call);
        if (call.ended) {
            call.ticket.close();
        }
    }

    private void onReport(Target target, EngineReport report) {
        load.onReport(target.id(), report.queuedTokens(), report.runningStreams());
        if (down.remove(target.id())) {
            updateEligible();
        }
    }

    private void onConnectionLost(TargetId target) {
        index.onConnectionLost(target);
        load.clearLoad(target);
        if (down.add(target)) {
            updateEligible();
        }
    }

    private void updateEligible() {
        Collection<TargetId> up = new ArrayList<>(context.engines().keySet());
        up.removeAll(down);
        eligible = EligibleTargets.of(up);
        admission.dispatchQueued();
    }

    /** Has announcements of long prompts sent to the daemons, besides heartbeats. */
    void announceTo(Collection<FakeDaemon> daemons) {
        load.setLoadAnnouncer(() -> sendHeartbeat(daemons));
    }

    /** Sends the outstanding work to all other daemons. */
    void sendHeartbeat(Collection<FakeDaemon> daemons) {
        Map<TargetId, Outstanding> outstanding = load.ownOutstanding();
        context.time()
                .schedule(
                        FakeEngineClient.DELAY,
                        () -> {
                            for (FakeDaemon daemon : daemons) {
                                if (daemon != this) {
                                    daemon.load.onHeartbeat(id, outstanding);
                                }
                            }
                        });
    }

    /** One request at this daemon. */
    private final class Call implements AdmissionHandler {
        private final FakeRequest request;
        private AdmissionTicket ticket;
        private Set<TargetId> excluded = Set.of();
        private boolean firstTokenSeen;
        private boolean ended;
        private int attempts;

        private Call(FakeRequest request) {
            this.request = request;
        }

        @Override
        public boolean tryDispatch() {
            PlacementRequest placement =
                    new PlacementRequest(
                            request.chain(), MODEL, request.organisation(), 0, excluded, false);
            Optional<PlacementDecision> decision =
                    policy.choose(placement, FakeDaemon.this)
                            .filter(
                                    choice ->
                                            choice.queueingDelay().compareTo(MAXIMUM_QUEUEING_DELAY)
                                                    <= 0);
            decision.ifPresent(this::dispatch);
            return decision.isPresent();
        }

        private void dispatch(PlacementDecision decision) {
            waiting.remove(this);
            attempts++;
            TargetId target = decision.target();
            int uncached = request.chain().uncachedTokens(decision.cachedBlocks());
            load.onDispatch(target, uncached);
            index.onDispatch(target, request.chain());
            FakeEngine engine = context.engines().get(target);
            AttemptListener listener = new AttemptListener(this, engine, uncached);
            FakeEngine.Attempt attempt = engine.expect(request, request.answerTokens(), listener);
            context.time().schedule(FakeEngineClient.DELAY, () -> engine.submit(attempt));
        }

        @Override
        public void refuse(ErrorCode code, String message) {
            waiting.remove(this);
            ended = true;
            context.recorder().refused(request);
        }

        private void end() {
            ended = true;
            if (ticket != null) {
                ticket.close();
            }
        }

        private void retry(TargetId failed) {
            excluded = Set.of(failed);
            if (stopped || attempts >= ATTEMPTS || !budget.tryTake() || !tryDispatch()) {
                if (!firstTokenSeen) {
                    context.recorder().refused(request);
                }
                end();
            }
        }
    }

    /** Takes the events of an attempt at the engine and handles them after the network's delay. */
    private final class AttemptListener implements FakeStreamListener {
        private final Call call;
        private final FakeEngine engine;
        private final int uncachedTokens;
        private final long dispatchedAt = context.time().millis();
        private boolean promptFinished;

        private AttemptListener(Call call, FakeEngine engine, int uncachedTokens) {
            this.call = call;
            this.engine = engine;
            this.uncachedTokens = uncachedTokens;
        }

        private void later(Runnable action) {
            context.time().schedule(FakeEngineClient.DELAY, action);
        }

        @Override
        public void onPrefill(int cachedBlocks) {
            int best = 0;
            for (FakeEngine other : context.engines().values()) {
                if (other.alive()) {
                    best = Math.max(best, other.matched(call.request.chain()));
                }
            }
            context.recorder().prefilled(call.request, cachedBlocks, best);
        }

        @Override
        public void onFirstToken(EngineIncarnation incarnation, int cachedTokens) {
            later(() -> firstToken(incarnation, cachedTokens));
        }

        private void firstToken(EngineIncarnation incarnation, int cachedTokens) {
            promptFinished = true;
            load.onPrefillFinished(engine.id(), uncachedTokens);
            index.onAnswer(engine.id(), incarnation, call.request.chain(), cachedTokens);
            long now = context.time().millis();
            admission.onFirstToken(Duration.ofMillis(now - dispatchedAt));
            if (!call.firstTokenSeen) {
                call.firstTokenSeen = true;
                context.recorder().firstToken(call.request, now);
            }
            admission.dispatchQueued();
        }

        @Override
        public void onFinished() {
            later(
                    () -> {
                        load.onStreamFinished(engine.id());
                        context.recorder().finished(context.time().millis());
                        call.end();
                    });
        }

        @Override
        public void onFailed(int computedTokens) {
            later(
                    () -> {
                        context.recorder().wasted(call.request, computedTokens);
                        if (!promptFinished) {
                            load.onPrefillFinished(engine.id(), uncachedTokens);
                        }
                        load.onStreamFinished(engine.id());
                        onConnectionLost(engine.id());
                        call.retry(engine.id());
                    });
        }
    }

    private static final class NoLimits implements AdmissionLimits {
        private static final OrganisationLimits LIMITS =
                new OrganisationLimits(UNLIMITED, UNLIMITED, 1);

        @Override
        public OrganisationLimits limits(OrganisationId organisation) {
            return LIMITS;
        }

        @Override
        public double share(OrganisationId organisation) {
            return 1;
        }
    }

    /** What the daemons of a run share. */
    record RunContext(
            Deployment deployment,
            VirtualTime time,
            Map<TargetId, FakeEngine> engines,
            RunRecorder recorder,
            InvariantMonitor invariants) {}
}
