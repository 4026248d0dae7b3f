package org.bergamothoist.gateway.caller;

import java.time.Duration;
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
import org.bergamothoist.core.prefix.EnginePlacement;
import org.bergamothoist.core.prefix.PartitionedPrompt;
import org.bergamothoist.core.route.CacheStoreDefinition;
import org.bergamothoist.core.route.EngineDefinition;
import org.bergamothoist.core.route.ServiceDefinition;
import org.bergamothoist.gateway.state.Beliefs;
import org.bergamothoist.gateway.wire.Forwarding;

/** Chooses a request's target and what that is told. */
public final class Dispatcher {

    /** Shared tokens from which fetching is asked for: two blocks of an engine's memory. */
    private static final int LEAST_FETCHED_TOKENS = 32;

    /** Least urgent priority that a target knows. */
    private static final int LEAST_URGENT = 9;

    private final Beliefs beliefs;
    private final ServicePlacement services;
    private final EnginePlacement engines;
    private final InstantSource clock;
    private final DoubleSupplier random;

    /**
     * Creates a dispatcher.
     *
     * @param random draws numbers from 0 to 1
     */
    public Dispatcher(
            Beliefs beliefs,
            ServicePlacement services,
            EnginePlacement engines,
            InstantSource clock,
            DoubleSupplier random) {
        this.beliefs = beliefs;
        this.services = services;
        this.engines = engines;
        this.clock = clock;
        this.random = random;
    }

    /**
     * A chosen target.
     *
     * @param prefillTokens prompt tokens that it presumably has to read; 0 for plain services
     * @param queueing predicted time until it begins with the request; 0 for plain services
     */
    public record Dispatch(
            RegisteredTarget target,
            TargetState state,
            Forwarding forwarding,
            int prefillTokens,
            Duration queueing) {}

    /** Draws the service that a request goes to. */
    public String drawService(RequestContext request) {
        return request.route().selectService(random.getAsDouble());
    }

    /**
     * Returns the target for an attempt, or empty if there is none.
     *
     * @param tried identifiers of targets that are not to be chosen again
     * @param lastEventId last event that the caller has, if a stream goes on
     */
    public Optional<Dispatch> choose(
            RequestContext request,
            String service,
            Set<String> tried,
            Duration left,
            Optional<String> lastEventId) {
        List<RegisteredTarget> targets = beliefs.targets().accepting(service);
        Optional<EngineDefinition> engineDefinition =
                request.configuration().service(service).flatMap(ServiceDefinition::engine);
        Optional<PartitionedPrompt> prompt = request.head().prompt();
        if (engineDefinition.isEmpty() || prompt.isEmpty()) {
            return services.choose(targets, tried)
                    .map(target -> plain(request, target, left, lastEventId));
        }
        EnginePlacement.Requirements demand =
                new EnginePlacement.Requirements(
                        prompt.get(),
                        request.organisation().orElse(null),
                        version ->
                                beliefs.namedWeights()
                                        .outdatedSince(prompt.get().model(), version));
        return engines.choose(targets, demand, tried)
                .map(
                        choice ->
                                toEngine(
                                        request,
                                        choice,
                                        engineDefinition.get(),
                                        left,
                                        lastEventId));
    }

    private Dispatch plain(
            RequestContext request,
            RegisteredTarget target,
            Duration left,
            Optional<String> lastEventId) {
        Forwarding forwarding =
                new Forwarding(
                        target.id(),
                        left,
                        organisationName(request),
                        priority(request),
                        OptionalInt.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        lastEventId);
        TargetState state = beliefs.targetStates().getOrCreate(target.incarnation());
        return new Dispatch(target, state, forwarding, 0, Duration.ZERO);
    }

    private Dispatch toEngine(
            RequestContext request,
            EnginePlacement.Choice choice,
            EngineDefinition engineDefinition,
            Duration left,
            Optional<String> lastEventId) {
        RegisteredTarget target = choice.target();
        TargetState state = beliefs.targetStates().getOrCreate(target.incarnation());
        PartitionedPrompt prompt = request.head().prompt().orElseThrow();
        OptionalInt version = state.weightVersion();
        CacheScope scope =
                CacheScope.of(
                        request.organisation().orElse(null), prompt.model(), version.orElse(0));
        Sources sources =
                version.isPresent() && prompt.sharedTokens() >= LEAST_FETCHED_TOKENS
                        ? sources(request, target, scope)
                        : Sources.NONE;
        beliefs.expectedParts()
                .add(
                        target.incarnation().toString(),
                        scope,
                        prompt.parts(),
                        engineDefinition.cacheTokens());
        Forwarding forwarding =
                new Forwarding(
                        target.id(),
                        left,
                        organisationName(request),
                        priority(request),
                        version,
                        Optional.of(scope),
                        sources.fetchFrom(),
                        sources.saveTo(),
                        lastEventId);
        return new Dispatch(
                target, state, forwarding, choice.prefillTokens(), choice.queueingDelay());
    }

    /** Where prompt parts come from and go to; neither for parts made on unknown weights. */
    private record Sources(Optional<String> fetchFrom, Optional<String> saveTo) {

        private static final Sources NONE = new Sources(Optional.empty(), Optional.empty());
    }

    private Sources sources(RequestContext request, RegisteredTarget target, CacheScope scope) {
        PartitionedPrompt prompt = request.head().prompt().orElseThrow();
        String own = target.incarnation().toString();
        int held = beliefs.heldParts().cachedPrefixTokens(own, scope, prompt.sharedParts());
        if (prompt.sharedTokens() - held < LEAST_FETCHED_TOKENS) {
            return Sources.NONE;
        }
        Optional<CacheStoreDefinition> store =
                request.configuration()
                        .cacheStore()
                        .filter(known -> beliefs.cacheStore().isReachable(known.address()));
        boolean stored = store.isPresent() && beliefs.cacheStore().holdsSharedParts(scope, prompt);
        if (stored) {
            return new Sources(store.map(CacheStoreDefinition::address), Optional.empty());
        }
        Optional<RegisteredTarget> neighbour = bestNeighbour(target, scope, prompt, held);
        return new Sources(
                neighbour
                        .map(RegisteredTarget::address)
                        .or(() -> store.map(CacheStoreDefinition::address)),
                store.map(CacheStoreDefinition::address));
    }

    /** Returns the usable engine that holds the most of a prompt, beyond what the target holds. */
    private Optional<RegisteredTarget> bestNeighbour(
            RegisteredTarget target, CacheScope scope, PartitionedPrompt prompt, int held) {
        RegisteredTarget best = null;
        int most = held + LEAST_FETCHED_TOKENS - 1;
        for (RegisteredTarget engine : beliefs.targets().accepting(target.service())) {
            TargetState state = beliefs.targetStates().getOrCreate(engine.incarnation());
            if (engine.id().equals(target.id()) || !state.health().isUsable(clock.instant())) {
                continue;
            }
            int tokens =
                    beliefs.heldParts()
                            .cachedPrefixTokens(
                                    engine.incarnation().toString(), scope, prompt.sharedParts());
            if (tokens > most) {
                most = tokens;
                best = engine;
            }
        }
        return Optional.ofNullable(best);
    }

    private static Optional<String> organisationName(RequestContext request) {
        return request.organisation().map(organisation -> organisation.name());
    }

    private static int priority(RequestContext request) {
        int stated =
                request.organisation()
                        .map(owner -> owner.priority().orElse(request.route().priority()))
                        .orElse(request.route().priority());
        return Math.min(LEAST_URGENT, Math.max(0, stated));
    }
}
