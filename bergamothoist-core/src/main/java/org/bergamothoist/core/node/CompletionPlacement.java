package org.bergamothoist.core.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.bergamothoist.core.cache.CacheIndex;
import org.bergamothoist.core.dispatch.DispatchObserver;
import org.bergamothoist.core.dispatch.EngineChoice;
import org.bergamothoist.core.dispatch.EngineChooser;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.limit.AdmissionController;
import org.bergamothoist.core.membership.TargetAvailability;
import org.bergamothoist.core.membership.TargetDirectory;
import org.bergamothoist.core.placement.EligibleTargets;
import org.bergamothoist.core.placement.LoadEstimator;
import org.bergamothoist.core.placement.PlacementDecision;
import org.bergamothoist.core.placement.PlacementPolicy;
import org.bergamothoist.core.placement.PlacementRequest;
import org.bergamothoist.core.placement.PlacementView;
import org.bergamothoist.core.placement.ReplicaController;
import org.bergamothoist.core.platform.EngineResponseStart;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetFailure;
import org.bergamothoist.core.request.CompletionExchange;
import org.bergamothoist.core.timeline.EventKind;
import org.bergamothoist.core.timeline.Timeline;

/**
 * Chooses engines by the placement policy and updates the cache index, the load estimates and the
 * target directory from the events of each dispatch. Confined to the control thread.
 */
final class CompletionPlacement implements EngineChooser, DispatchObserver, PlacementView {

    private final PlacementPolicy policy;
    private final CacheIndex index;
    private final LoadEstimator load;
    private final TargetDirectory directory;
    private final EngineReports reports;
    private final ReplicaController replicas;
    private final NodeMetrics metrics;
    private final Timeline timeline;
    private final Map<AttemptKey, OutstandingPrompt> outstanding = new HashMap<>();
    private Predicate<TargetId> runsSuspect = target -> false;
    private AdmissionController admission;

    CompletionPlacement(
            PlacementPolicy policy,
            CacheIndex index,
            LoadEstimator load,
            TargetDirectory directory,
            EngineReports reports,
            ReplicaController replicas,
            Instrumentation instrumentation) {
        this.policy = policy;
        this.index = index;
        this.load = load;
        this.directory = directory;
        this.reports = reports;
        this.replicas = replicas;
        this.metrics = instrumentation.metrics();
        this.timeline = instrumentation.timeline();
    }

    /** The metrics and the timeline that dispatch events are reported to. */
    record Instrumentation(NodeMetrics metrics, Timeline timeline) {}

    /** Identifies the attempt of a completion at one engine. */
    private record AttemptKey(CompletionExchange exchange, TargetId target) {}

    /** Work that is accounted to an engine until the attempt ends. */
    private static final class OutstandingPrompt {
        private final TargetId target;
        private final int uncachedTokens;
        private final int predictedTokens;
        private boolean firstPieceSeen;

        OutstandingPrompt(TargetId target, int uncachedTokens, int predictedTokens) {
            this.target = target;
            this.uncachedTokens = uncachedTokens;
            this.predictedTokens = predictedTokens;
        }
    }

    /** Sets the collaborators that are created after this object. */
    void connect(Predicate<TargetId> suspectCheck, AdmissionController admissionController) {
        runsSuspect = suspectCheck;
        admission = admissionController;
    }

    /** Returns whether an engine would accept the request now. */
    boolean hasRoom(CompletionExchange exchange) {
        return decide(exchange, Set.of(), false).isPresent();
    }

    @Override
    public Optional<EngineChoice> choose(
            CompletionExchange exchange, Set<TargetId> excluded, boolean isolated) {
        return decide(exchange, excluded, isolated).flatMap(this::toChoice);
    }

    @Override
    public Optional<EngineChoice> confirm(CompletionExchange exchange, EngineChoice choice) {
        TargetId target = choice.target().id();
        if (!eligible(exchange.modelKey()).contains(target)) {
            return Optional.empty();
        }
        return Optional.of(
                new EngineChoice(
                        choice.target(),
                        incarnation(target),
                        index.matchedBlocks(target, exchange.hashChain()),
                        choice.importReplica()));
    }

    private Optional<PlacementDecision> decide(
            CompletionExchange exchange, Set<TargetId> excluded, boolean isolated) {
        PlacementRequest request =
                new PlacementRequest(
                        exchange.hashChain(),
                        exchange.modelKey(),
                        exchange.organisationId(),
                        exchange.priority(),
                        excluded,
                        isolated);
        return policy.choose(request, this);
    }

    private Optional<EngineChoice> toChoice(PlacementDecision decision) {
        return directory
                .find(decision.target())
                .map(
                        known ->
                                new EngineChoice(
                                        known.getKey(),
                                        incarnation(decision.target()),
                                        decision.cachedBlocks(),
                                        decision.importReplica()));
    }

    private EngineIncarnation incarnation(TargetId target) {
        return index.incarnation(target)
                .or(() -> reports.report(target).map(report -> report.incarnation()))
                .orElse(EngineIncarnation.UNKNOWN);
    }

    @Override
    public EligibleTargets eligible(ModelKey key) {
        return reports.eligible(key);
    }

    @Override
    public boolean runsSuspect(TargetId target) {
        return runsSuspect.test(target);
    }

    @Override
    public CacheIndex index() {
        return index;
    }

    @Override
    public LoadEstimator load() {
        return load;
    }

    @Override
    public void onDispatched(CompletionExchange exchange, EngineChoice choice) {
        TargetId target = choice.target().id();
        directory.beforeDispatch(target);
        invalidateEligibleTargetsIfSuspect(target);
        replicas.rememberPrefix(
                exchange.organisationId(), exchange.modelKey(), exchange.hashChain());
        if (choice.importReplica()) {
            replicas.replicate(
                    exchange.organisationId(),
                    exchange.modelKey(),
                    exchange.hashChain(),
                    choice.target());
        }
        int uncached = exchange.hashChain().uncachedTokens(choice.predictedCachedBlocks());
        int predicted = choice.predictedCachedBlocks() * exchange.hashChain().blockTokens();
        outstanding.put(
                new AttemptKey(exchange, target),
                new OutstandingPrompt(target, uncached, predicted));
        load.onDispatch(target, uncached);
        index.onDispatch(target, exchange.hashChain());
    }

    @Override
    public void onResumed(CompletionExchange exchange, Target target) {
        outstanding.put(
                new AttemptKey(exchange, target.id()), new OutstandingPrompt(target.id(), 0, 0));
        load.onDispatch(target.id(), 0);
    }

    /**
     * A suspect target gets single trial requests at intervals, so its eligibility is not cached.
     */
    private void invalidateEligibleTargetsIfSuspect(TargetId target) {
        boolean suspect =
                directory
                        .find(target)
                        .map(known -> known.getValue() == TargetAvailability.SUSPECT)
                        .orElse(false);
        if (suspect) {
            reports.invalidateEligibleTargets();
        }
    }

    @Override
    public void onResponseStarted(
            CompletionExchange exchange, Target target, EngineResponseStart start) {
        directory.observeResponse(target.id());
        if (exchange.resuming()) {
            return;
        }
        index.onAnswer(
                target.id(), start.incarnation(), exchange.hashChain(), start.cachedTokens());
        OutstandingPrompt prompt = outstanding.get(new AttemptKey(exchange, target.id()));
        long predicted = prompt == null ? 0 : prompt.predictedTokens;
        metrics.responseStarted(start.promptTokens(), start.cachedTokens(), predicted);
    }

    @Override
    public void onFirstToken(CompletionExchange exchange, Target target, Duration sinceDispatch) {
        metrics.firstToken(sinceDispatch);
        admission.onFirstToken(sinceDispatch);
        OutstandingPrompt prompt = outstanding.get(new AttemptKey(exchange, target.id()));
        if (prompt != null && !prompt.firstPieceSeen) {
            prompt.firstPieceSeen = true;
            load.onPrefillFinished(target.id(), prompt.uncachedTokens);
            admission.dispatchQueued();
        }
    }

    @Override
    public void onAttemptEnded(CompletionExchange exchange, Target target) {
        OutstandingPrompt prompt = outstanding.remove(new AttemptKey(exchange, target.id()));
        if (prompt == null) {
            return;
        }
        if (!prompt.firstPieceSeen) {
            load.onPrefillFinished(prompt.target, prompt.uncachedTokens);
        }
        load.onStreamFinished(prompt.target);
        admission.dispatchQueued();
    }

    @Override
    public void onConnectionFailed(Target target) {
        directory.observeFailure(target.id(), TargetFailure.Kind.NOT_SENT);
        index.onConnectionLost(target.id());
        invalidateEligibleTargetsIfSuspect(target.id());
    }

    @Override
    public void onRefused(Target target) {
        directory.observeFailure(target.id(), TargetFailure.Kind.REFUSED);
        metrics.retried();
    }

    @Override
    public void onEngineLost(Target target, EngineIncarnation incarnation) {
        metrics.engineLost();
        directory.observeFailure(target.id(), TargetFailure.Kind.BROKEN);
        index.onConnectionLost(target.id());
        reports.remove(target.id());
        timeline.record(
                EventKind.ENGINE_LOST, target.id().toString(), "incarnation " + incarnation);
    }
}
