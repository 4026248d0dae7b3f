package org.bergamothoist.gateway.caller;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.ServicePlacement;
import org.bergamothoist.core.fleet.TargetState;
import org.bergamothoist.core.prefix.CacheScope;
import org.bergamothoist.core.prefix.EngineObserver;
import org.bergamothoist.core.prefix.EnginePlacement;
import org.bergamothoist.core.prefix.PartitionedPrompt;
import org.bergamothoist.core.prefix.RequestObservation;
import org.bergamothoist.core.prefix.RequestTerms;
import org.bergamothoist.core.prefix.StreamSeparation;
import org.bergamothoist.core.route.CacheOwner;
import org.bergamothoist.core.route.CacheStoreDefinition;
import org.bergamothoist.core.route.EngineDefinition;
import org.bergamothoist.core.route.ServiceDefinition;
import org.bergamothoist.gateway.state.ClusterView;
import org.bergamothoist.gateway.wire.ForwardingMetadata;

/** Selects the target of a request and the routing headers that the target receives. */
public final class TargetSelector {

    /**
     * Minimum shared prompt tokens missing from the target's cache for which it is instructed to
     * fetch them: two blocks of an engine's cache.
     */
    private static final int MINIMUM_FETCHED_TOKENS = 32;

    /** Least urgent priority that targets accept; 0 is the most urgent. */
    private static final int LOWEST_PRIORITY = 9;

    private final ClusterView clusterView;
    private final ServicePlacement servicePlacement;
    private final EnginePlacement enginePlacement;
    private final EngineObserver engineObserver;
    private final StreamSeparation separation;
    private final InstantSource clock;
    private final DoubleSupplier random;

    /**
     * Creates a selector.
     *
     * @param random supplies uniformly distributed numbers from 0 to 1
     */
    public TargetSelector(
            ClusterView clusterView,
            ServicePlacement servicePlacement,
            EnginePlacement enginePlacement,
            EngineObserver engineObserver,
            StreamSeparation separation,
            InstantSource clock,
            DoubleSupplier random) {
        this.clusterView = clusterView;
        this.servicePlacement = servicePlacement;
        this.enginePlacement = enginePlacement;
        this.engineObserver = engineObserver;
        this.separation = separation;
        this.clock = clock;
        this.random = random;
    }

    /**
     * A selected target and what is sent to it with the request.
     *
     * @param prefillTokens predicted number of prompt tokens to prefill; 0 for plain services
     * @param terms what the request demands of an engine; none for plain services
     * @param memoryTokens tokens that the request occupies in an engine's memory
     * @param fitsMemory whether an engine's memory has room for the request
     * @param queueingDelay predicted time until it starts the request; 0 for plain services
     * @param outdatedSince when newer weights than the target's were requested, if they were
     */
    public record Selection(
            RegisteredTarget target,
            TargetState state,
            ForwardingMetadata forwarding,
            int prefillTokens,
            RequestTerms terms,
            long memoryTokens,
            boolean fitsMemory,
            Duration queueingDelay,
            Optional<Instant> outdatedSince) {}

    /** Selects one of the services of the request's route at random, by weight. */
    public String selectService(RequestContext request) {
        return request.route().selectService(random.getAsDouble());
    }

    /**
     * Returns the target for the next attempt, or empty if no target accepts the request.
     *
     * @param triedTargets identifiers of targets that are not selected again
     * @param timeLeft time left until the deadline of the response
     * @param lastEventId last event that the caller has received, if a stream is continued
     */
    public Optional<Selection> selectTarget(
            RequestContext request,
            String service,
            Set<String> triedTargets,
            Duration timeLeft,
            Optional<String> lastEventId) {
        List<RegisteredTarget> targets = clusterView.targets().accepting(service);
        Optional<EngineDefinition> engineDefinition =
                request.configuration().service(service).flatMap(ServiceDefinition::engine);
        Optional<PartitionedPrompt> prompt = request.head().prompt();
        if (engineDefinition.isEmpty() || prompt.isEmpty()) {
            return servicePlacement
                    .choose(targets, triedTargets)
                    .map(
                            target ->
                                    serviceSelection(
                                            request,
                                            target,
                                            engineDefinition.map(
                                                    engine ->
                                                            CacheScope.ofUnstatedPrompt(
                                                                    cacheOwner(request))),
                                            timeLeft,
                                            lastEventId));
        }
        EnginePlacement.Requirements requirements =
                new EnginePlacement.Requirements(
                        prompt.get(),
                        cacheOwner(request),
                        version ->
                                clusterView
                                        .desiredWeightVersions()
                                        .outdatedSince(prompt.get().model(), version),
                        engineDefinition.get().transferMillisecondsPerToken(),
                        terms(request, engineDefinition.get()));
        return enginePlacement
                .choose(targets, requirements, triedTargets)
                .map(
                        choice ->
                                engineSelection(
                                        request,
                                        choice,
                                        engineDefinition.get(),
                                        timeLeft,
                                        lastEventId));
    }

    /**
     * Records that an engine has cached the shared parts of a request's prompt, since it has sent
     * the first bytes of its answer. That is known sooner than from the engine's events.
     */
    public void recordPromptCached(RequestContext request, Selection selection) {
        Optional<PartitionedPrompt> prompt = request.head().prompt();
        ForwardingMetadata sent = selection.forwarding();
        boolean sameWeights =
                sent.weightVersion().isPresent()
                        && sent.weightVersion().equals(selection.state().weightVersion());
        if (prompt.isEmpty() || sent.scope().isEmpty() || !sameWeights) {
            return;
        }
        request.configuration()
                .service(selection.target().service())
                .flatMap(ServiceDefinition::engine)
                .ifPresent(
                        definition ->
                                clusterView
                                        .reportedParts()
                                        .add(
                                                selection.target().incarnation().toString(),
                                                sent.scope().get(),
                                                prompt.get().sharedParts(),
                                                definition.cacheTokens()));
    }

    /**
     * Records how long a completed request of an engine occupied a slot.
     *
     * @param sinceFirstByte time from the first byte of the answer to its end
     */
    public void recordCompletion(Selection selection, Duration sinceFirstByte) {
        if (selection.forwarding().scope().isEmpty()) {
            return;
        }
        enginePlacement.recordSlotTime(
                selection.target().service(), slotTime(selection, sinceFirstByte));
    }

    /**
     * Returns how long a completed request of an engine occupied a slot.
     *
     * @param sinceFirstByte time from the first byte of the answer to its end
     */
    Duration slotTime(Selection selection, Duration sinceFirstByte) {
        double rate =
                clusterView
                        .engineSpeeds()
                        .lastingTokensPerMillisecond(selection.target(), clock.instant());
        return sinceFirstByte.plusMillis(Math.round(selection.prefillTokens() / rate));
    }

    /** Returns an observation of an attempt, or empty if its target is no engine. */
    Optional<RequestObservation> observation(RequestContext request, Selection selection) {
        return request.head()
                .prompt()
                .filter(prompt -> selection.memoryTokens() > 0)
                .map(
                        prompt ->
                                engineObserver.observe(
                                        new RequestObservation.Sample(
                                                selection.target(),
                                                selection.terms(),
                                                selection.prefillTokens(),
                                                selection.memoryTokens(),
                                                separation.isLongPrompt(
                                                        selection.target().service(),
                                                        prompt,
                                                        selection.terms()),
                                                selection.forwarding().fetchFrom().isPresent()),
                                        selection.state().load()));
    }

    private RequestTerms terms(RequestContext request, EngineDefinition engine) {
        RequestTerms terms =
                RequestTerms.of(
                        priority(request) == 0 && request.route().kind().isStream(),
                        request.route().latencyObjective(),
                        request.route().longestEventGap(),
                        engine);
        return separation.isEnabled() ? terms : terms.withoutMemoryLimit();
    }

    private Selection serviceSelection(
            RequestContext request,
            RegisteredTarget target,
            Optional<CacheScope> scope,
            Duration timeLeft,
            Optional<String> lastEventId) {
        ForwardingMetadata forwarding =
                new ForwardingMetadata(
                        target.id(),
                        timeLeft,
                        organisationName(request),
                        priority(request),
                        OptionalInt.empty(),
                        scope,
                        Optional.empty(),
                        Optional.empty(),
                        lastEventId);
        TargetState state = clusterView.targetStates().getOrCreate(target.incarnation());
        return new Selection(
                target,
                state,
                forwarding,
                0,
                RequestTerms.NONE,
                0,
                true,
                Duration.ZERO,
                Optional.empty());
    }

    private Selection engineSelection(
            RequestContext request,
            EnginePlacement.Choice choice,
            EngineDefinition engineDefinition,
            Duration timeLeft,
            Optional<String> lastEventId) {
        RegisteredTarget target = choice.target();
        TargetState state = clusterView.targetStates().getOrCreate(target.incarnation());
        PartitionedPrompt prompt = request.head().prompt().orElseThrow();
        OptionalInt version = state.weightVersion();
        CacheScope scope = CacheScope.of(cacheOwner(request), prompt.model(), version.orElse(0));
        CacheTransfer cacheTransfer =
                version.isPresent() && prompt.sharedTokens() >= MINIMUM_FETCHED_TOKENS
                        ? cacheTransfer(request, target, scope)
                        : CacheTransfer.NONE;
        clusterView
                .expectedParts()
                .add(
                        target.incarnation().toString(),
                        scope,
                        prompt.parts(),
                        engineDefinition.cacheTokens());
        ForwardingMetadata forwarding =
                new ForwardingMetadata(
                        target.id(),
                        timeLeft,
                        organisationName(request),
                        priority(request),
                        version,
                        Optional.of(scope),
                        cacheTransfer.fetchFrom(),
                        cacheTransfer.saveTo(),
                        lastEventId);
        return new Selection(
                target,
                state,
                forwarding,
                choice.prefillTokens(),
                terms(request, engineDefinition),
                (long) prompt.promptTokens() + prompt.maximumOutputTokens(),
                choice.fitsMemory(),
                choice.queueingDelay(),
                choice.outdatedSince());
    }

    /**
     * Addresses that the target fetches cached prompt parts from and saves them to; both empty for
     * parts computed with an unknown weight version.
     */
    private record CacheTransfer(Optional<String> fetchFrom, Optional<String> saveTo) {

        private static final CacheTransfer NONE =
                new CacheTransfer(Optional.empty(), Optional.empty());
    }

    private CacheTransfer cacheTransfer(
            RequestContext request, RegisteredTarget target, CacheScope scope) {
        PartitionedPrompt prompt = request.head().prompt().orElseThrow();
        String targetIncarnation = target.incarnation().toString();
        int targetCachedTokens =
                clusterView
                        .reportedParts()
                        .cachedPrefixTokens(targetIncarnation, scope, prompt.sharedParts());
        if (prompt.sharedTokens() - targetCachedTokens < MINIMUM_FETCHED_TOKENS) {
            return CacheTransfer.NONE;
        }
        Optional<CacheStoreDefinition> store =
                request.configuration()
                        .cacheStore()
                        .filter(
                                definition ->
                                        clusterView.cacheStore().isReachable(definition.address()));
        boolean storedInCacheStore =
                store.isPresent() && clusterView.cacheStore().holdsSharedParts(scope, prompt);
        if (storedInCacheStore) {
            return new CacheTransfer(store.map(CacheStoreDefinition::address), Optional.empty());
        }
        Optional<RegisteredTarget> source =
                engineWithMostCachedTokens(target, scope, prompt, targetCachedTokens);
        return new CacheTransfer(
                source.map(RegisteredTarget::address)
                        .or(() -> store.map(CacheStoreDefinition::address)),
                store.map(CacheStoreDefinition::address));
    }

    /**
     * Returns the usable engine that caches the most tokens of the prompt, or empty if none caches
     * enough more than the target to make a fetch worthwhile.
     */
    private Optional<RegisteredTarget> engineWithMostCachedTokens(
            RegisteredTarget target,
            CacheScope scope,
            PartitionedPrompt prompt,
            int targetCachedTokens) {
        RegisteredTarget best = null;
        int mostCachedTokens = targetCachedTokens + MINIMUM_FETCHED_TOKENS - 1;
        for (RegisteredTarget engine : clusterView.targets().accepting(target.service())) {
            TargetState state = clusterView.targetStates().getOrCreate(engine.incarnation());
            if (engine.id().equals(target.id()) || !state.health().isUsable(clock.instant())) {
                continue;
            }
            int cachedTokens =
                    clusterView
                            .reportedParts()
                            .cachedPrefixTokens(
                                    engine.incarnation().toString(), scope, prompt.sharedParts());
            if (cachedTokens > mostCachedTokens) {
                mostCachedTokens = cachedTokens;
                best = engine;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns whose cached parts a request may use by the configuration in force, which may be
     * newer than the request: its organisation may have become isolated since.
     */
    private CacheOwner cacheOwner(RequestContext request) {
        return clusterView
                .configuration()
                .current()
                .orElse(request.configuration())
                .cacheIsolation()
                .owner(organisationName(request));
    }

    private static Optional<String> organisationName(RequestContext request) {
        return request.organisation().map(organisation -> organisation.name());
    }

    /** Returns the priority that targets are told. */
    static int priority(RequestContext request) {
        int configured =
                request.organisation()
                        .map(owner -> owner.priority().orElse(request.route().priority()))
                        .orElse(request.route().priority());
        return Math.min(LOWEST_PRIORITY, Math.max(0, configured));
    }
}
