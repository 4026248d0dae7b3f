package org.bergamothoist.gateway.caller;

import java.time.Duration;
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
import org.bergamothoist.core.prefix.NamedPrompt;
import org.bergamothoist.core.route.CacheStoreTraits;
import org.bergamothoist.core.route.EngineTraits;
import org.bergamothoist.core.route.ServiceDefinition;
import org.bergamothoist.gateway.state.Beliefs;
import org.bergamothoist.gateway.wire.Forwarding;

/** Chooses a request's target and what that is told. */
public final class Dispatcher {

    /**
     * Shared tokens from which fetching is asked for: two blocks of an engine's memory.
     */
    private static final int LEAST_FETCHED_TOKENS = 32;

    /** Least urgent priority that a target knows. */
    private static final int LEAST_URGENT = 9;

    private final Beliefs beliefs;
    private final ServicePlacement services;
    private final EnginePlacement engines;
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
            DoubleSupplier random) {
        this.beliefs = beliefs;
        this.services = services;
        this.engines = engines;
        this.random = random;
    }

    /**
     * A chosen target.
     *
     * @param prefillTokens prompt tokens that it presumably has to read; 0 for plain services
     */
    public record Dispatch(
            RegisteredTarget target, TargetState state, Forwarding forwarding, int prefillTokens) {}

    /** Draws the service that a request goes to. */
    public String drawService(RequestContext request) {
        return request.route().serviceFor(random.getAsDouble());
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
        Optional<EngineTraits> traits =
                request.configuration().service(service).flatMap(ServiceDefinition::engine);
        Optional<NamedPrompt> prompt = request.head().prompt();
        if (traits.isEmpty() || prompt.isEmpty()) {
            return services.choose(targets, tried)
                    .map(target -> plain(request, target, left, lastEventId));
        }
        EnginePlacement.Demand demand =
                new EnginePlacement.Demand(
                        prompt.get(),
                        request.organisation().orElse(null),
                        beliefs.namedWeights().newest(prompt.get().model()),
                        beliefs.namedWeights().namedAt(prompt.get().model()));
        return engines.choose(targets, demand, tried)
                .map(choice -> toEngine(request, choice, traits.get(), left, lastEventId));
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
        TargetState state = beliefs.targetStates().of(target.incarnation());
        return new Dispatch(target, state, forwarding, 0);
    }

    private Dispatch toEngine(
            RequestContext request,
            EnginePlacement.Choice choice,
            EngineTraits traits,
            Duration left,
            Optional<String> lastEventId) {
        RegisteredTarget target = choice.target();
        TargetState state = beliefs.targetStates().of(target.incarnation());
        NamedPrompt prompt = request.head().prompt().orElseThrow();
        OptionalInt version = state.weightVersion();
        CacheScope scope =
                CacheScope.of(
                        request.organisation().orElse(null), prompt.model(), version.orElse(0));
        Optional<String> store = cacheStore(request, prompt, version);
        Optional<String> saveTo =
                store.filter(address -> !beliefs.cacheStore().holds(scope, prompt));
        beliefs.heldParts()
                .add(
                        target.incarnation().toString(),
                        scope,
                        prompt.parts(),
                        traits.cacheTokens());
        Forwarding forwarding =
                new Forwarding(
                        target.id(),
                        left,
                        organisationName(request),
                        priority(request),
                        version,
                        Optional.of(scope),
                        store,
                        saveTo,
                        lastEventId);
        return new Dispatch(target, state, forwarding, choice.prefillTokens());
    }

    /** Parts made on unknown weights neither come from the store nor go there. */
    private Optional<String> cacheStore(
            RequestContext request, NamedPrompt prompt, OptionalInt version) {
        if (version.isEmpty() || prompt.sharedTokens() < LEAST_FETCHED_TOKENS) {
            return Optional.empty();
        }
        return request.configuration()
                .cacheStore()
                .map(CacheStoreTraits::address)
                .filter(beliefs.cacheStore()::isReachable);
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
