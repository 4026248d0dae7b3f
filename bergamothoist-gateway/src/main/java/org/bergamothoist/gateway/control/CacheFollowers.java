package org.bergamothoist.gateway.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetIncarnation;
import org.bergamothoist.core.prefix.CachedPartEvent;
import org.bergamothoist.core.route.CacheStoreDefinition;
import org.bergamothoist.core.route.EngineDefinition;
import org.bergamothoist.core.route.RouteConfiguration;
import org.bergamothoist.core.route.ServiceDefinition;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.state.Beliefs;

/** Follows the caches of all engines and of the store beside them. Confined to the event loop. */
public final class CacheFollowers {

    /** Interval between looks for new engines. */
    private static final Duration INTERVAL = Duration.ofMillis(500);

    private final Beliefs beliefs;
    private final CacheEvents events;
    private final Scheduler scheduler;
    private final DecisionLog log;
    private final Map<TargetIncarnation, CacheFollower> engines = new HashMap<>();

    /** Creates followers that do not call yet. */
    public CacheFollowers(
            Beliefs beliefs, CacheEvents events, Scheduler scheduler, DecisionLog log) {
        this.beliefs = beliefs;
        this.events = events;
        this.scheduler = scheduler;
        this.log = log;
    }

    /** Starts to follow. */
    public void start() {
        new CacheFollower(
                        () -> store().map(CacheStoreDefinition::address),
                        events,
                        scheduler,
                        new StoreObserver())
                .start();
        look();
    }

    private Optional<CacheStoreDefinition> store() {
        return beliefs.configuration().current().flatMap(RouteConfiguration::cacheStore);
    }

    private void look() {
        scheduler.schedule(INTERVAL, this::look);
        Set<TargetIncarnation> present = new HashSet<>();
        for (ServiceDefinition service : engineServices()) {
            long capacity = service.engine().map(EngineDefinition::cacheTokens).orElse(0L);
            for (RegisteredTarget engine : beliefs.targets().accepting(service.name())) {
                present.add(engine.incarnation());
                engines.computeIfAbsent(
                        engine.incarnation(), incarnation -> follow(engine, capacity));
            }
        }
        for (TargetIncarnation known : List.copyOf(engines.keySet())) {
            if (!present.contains(known)) {
                engines.remove(known).stop();
            }
        }
    }

    private List<ServiceDefinition> engineServices() {
        return beliefs.configuration()
                .current()
                .map(RouteConfiguration::engineServices)
                .orElse(List.of());
    }

    private CacheFollower follow(RegisteredTarget engine, long capacity) {
        CacheFollower follower =
                new CacheFollower(
                        () -> Optional.of(engine.address()),
                        events,
                        scheduler,
                        new EngineObserver(engine.incarnation(), capacity));
        follower.start();
        return follower;
    }

    private final class EngineObserver implements CacheFollower.Observer {

        private final String holder;
        private final long capacity;
        private long epoch = -1;
        private boolean failing;

        private EngineObserver(TargetIncarnation incarnation, long capacity) {
            this.holder = incarnation.toString();
            this.capacity = capacity;
        }

        @Override
        public void onEvents(String address, CacheEvents.EventPage page) {
            failing = false;
            if (page.epoch() != epoch && epoch >= 0 || page.lost()) {
                beliefs.heldParts().removeHolder(holder);
                beliefs.expectedParts().removeHolder(holder);
            }
            epoch = page.epoch();
            for (CachedPartEvent event : page.events()) {
                if (event.stored()) {
                    beliefs.heldParts().add(holder, event.scope(), List.of(event.part()), capacity);
                } else {
                    beliefs.heldParts().remove(holder, event.scope().key(), event.part().id());
                    beliefs.expectedParts().remove(holder, event.scope().key(), event.part().id());
                }
            }
        }

        @Override
        public void onFailure(Throwable cause) {
            if (!failing) {
                failing = true;
                log.write(
                        DecisionKind.DEPENDENCY_LOST,
                        holder,
                        () -> "" + cause,
                        "cache events not read; the engine's health is judged by requests");
            }
        }
    }

    private final class StoreObserver implements CacheFollower.Observer {

        private boolean reachable;

        @Override
        public void onEvents(String address, CacheEvents.EventPage page) {
            long capacity = store().map(CacheStoreDefinition::capacityTokens).orElse(0L);
            beliefs.cacheStore().applyEvents(address, page.epoch(), page.events(), capacity);
            if (!reachable) {
                reachable = true;
                log.write(
                        DecisionKind.DEPENDENCY_REGAINED,
                        "cache-store",
                        () -> "run=" + page.epoch(),
                        "answers");
            }
        }

        @Override
        public void onFailure(Throwable cause) {
            beliefs.cacheStore().markUnreachable();
            if (reachable) {
                reachable = false;
                log.write(
                        DecisionKind.DEPENDENCY_LOST, "cache-store", () -> "" + cause, "no answer");
            }
        }
    }
}
