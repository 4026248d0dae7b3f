package org.bergamothoist.gateway.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetIncarnation;
import org.bergamothoist.core.gossip.DaemonReport;
import org.bergamothoist.core.prefix.CachedPartEvent;
import org.bergamothoist.core.prefix.EventPollAssignment;
import org.bergamothoist.core.route.CacheStoreDefinition;
import org.bergamothoist.core.route.EngineDefinition;
import org.bergamothoist.core.route.RouteConfiguration;
import org.bergamothoist.core.route.ServiceDefinition;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.state.ClusterView;

/**
 * Polls engines and the KV cache store for cache events and applies them to the cache indexes. In a
 * large fleet each daemon polls some of them only. Confined to the event loop.
 */
public final class CacheEventPollers {

    /** Interval at which pollers are added and removed as engines come and go. */
    private static final Duration RECONCILE_INTERVAL = Duration.ofMillis(500);

    private final ClusterView clusterView;
    private final CacheEventClient client;
    private final String self;
    private final Supplier<Set<String>> pollingDaemons;
    private final Scheduler scheduler;
    private final DecisionLog log;
    private final Map<TargetIncarnation, CacheEventPoller> enginePollers = new HashMap<>();

    /**
     * Creates pollers that are not started yet.
     *
     * @param self peer address of this daemon
     * @param pollingDaemons returns the peer addresses of the daemons among which the polls are
     *     divided
     */
    public CacheEventPollers(
            ClusterView clusterView,
            CacheEventClient client,
            String self,
            Supplier<Set<String>> pollingDaemons,
            Scheduler scheduler,
            DecisionLog log) {
        this.clusterView = clusterView;
        this.client = client;
        this.self = self;
        this.pollingDaemons = pollingDaemons;
        this.scheduler = scheduler;
        this.log = log;
    }

    /** Starts to poll. */
    public void start() {
        new CacheEventPoller(
                        () -> polledCacheStore().map(CacheStoreDefinition::address),
                        client,
                        scheduler,
                        new StoreObserver())
                .start();
        reconcileEnginePollers();
    }

    private Optional<CacheStoreDefinition> cacheStore() {
        return clusterView.configuration().current().flatMap(RouteConfiguration::cacheStore);
    }

    private Optional<CacheStoreDefinition> polledCacheStore() {
        Set<String> daemons = pollingDaemons.get();
        return cacheStore()
                .filter(store -> isAssigned(daemons, store.address(), store.maximumEventCalls()));
    }

    private boolean isAssigned(Set<String> daemons, String target, int maximumCalls) {
        return EventPollAssignment.isAssigned(self, daemons, target, maximumCalls);
    }

    /** Returns whether the KV cache store has answered this daemon recently. */
    public boolean isStoreReachable() {
        return polledCacheStore()
                .filter(store -> clusterView.cacheStore().isReachable(store.address()))
                .isPresent();
    }

    /** Adopts what other daemons report of the store, if this one does not poll it. */
    private void adoptReportedStore() {
        if (polledCacheStore().isPresent()) {
            return;
        }
        boolean reachable =
                clusterView.daemons().aliveReports().stream()
                        .anyMatch(DaemonReport::cacheStoreReachable);
        cacheStore()
                .filter(store -> reachable)
                .ifPresent(store -> clusterView.cacheStore().markReachable(store.address()));
    }

    private void reconcileEnginePollers() {
        adoptReportedStore();
        Set<String> daemons = pollingDaemons.get();
        scheduler.schedule(RECONCILE_INTERVAL, this::reconcileEnginePollers);
        Set<TargetIncarnation> registered = new HashSet<>();
        for (ServiceDefinition service : engineServices()) {
            EngineDefinition definition = service.engine().orElseThrow();
            for (RegisteredTarget engine : clusterView.targets().accepting(service.name())) {
                if (!isAssigned(daemons, engine.id(), definition.maximumEventCalls())) {
                    continue;
                }
                registered.add(engine.incarnation());
                enginePollers.computeIfAbsent(
                        engine.incarnation(),
                        incarnation -> startPoller(engine, definition.cacheTokens()));
            }
        }
        for (TargetIncarnation polled : List.copyOf(enginePollers.keySet())) {
            if (!registered.contains(polled)) {
                enginePollers.remove(polled).stop();
                clusterView.reportedParts().removeHolder(polled.toString());
            }
        }
    }

    private List<ServiceDefinition> engineServices() {
        return clusterView
                .configuration()
                .current()
                .map(RouteConfiguration::engineServices)
                .orElse(List.of());
    }

    private CacheEventPoller startPoller(RegisteredTarget engine, long capacityTokens) {
        CacheEventPoller poller =
                new CacheEventPoller(
                        () -> Optional.of(engine.address()),
                        client,
                        scheduler,
                        new EngineObserver(engine.incarnation(), capacityTokens));
        poller.start();
        return poller;
    }

    private final class EngineObserver implements CacheEventPoller.Observer {

        private final String holder;
        private final long capacityTokens;
        private long epoch = -1;
        private boolean unreachable;

        private EngineObserver(TargetIncarnation incarnation, long capacityTokens) {
            this.holder = incarnation.toString();
            this.capacityTokens = capacityTokens;
        }

        @Override
        public void onEvents(String address, CacheEventClient.EventPage page) {
            unreachable = false;
            if (page.epoch() != epoch && epoch >= 0 || page.eventsLost()) {
                clusterView.reportedParts().removeHolder(holder);
                clusterView.expectedParts().removeHolder(holder);
            }
            epoch = page.epoch();
            for (CachedPartEvent event : page.events()) {
                if (event.stored()) {
                    clusterView
                            .reportedParts()
                            .add(holder, event.scope(), List.of(event.part()), capacityTokens);
                } else {
                    clusterView
                            .reportedParts()
                            .remove(holder, event.scope().key(), event.part().id());
                    clusterView
                            .expectedParts()
                            .remove(holder, event.scope().key(), event.part().id());
                }
            }
        }

        @Override
        public void onFailure(Throwable cause) {
            if (!unreachable) {
                unreachable = true;
                log.write(
                        DecisionKind.DEPENDENCY_LOST,
                        holder,
                        () -> "" + cause,
                        "cache events not read; the engine stays in use while requests succeed");
            }
        }
    }

    private final class StoreObserver implements CacheEventPoller.Observer {

        private boolean reachable;

        @Override
        public void onEvents(String address, CacheEventClient.EventPage page) {
            long capacityTokens = cacheStore().map(CacheStoreDefinition::capacityTokens).orElse(0L);
            clusterView
                    .cacheStore()
                    .applyEvents(address, page.epoch(), page.events(), capacityTokens);
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
            clusterView.cacheStore().markUnreachable();
            if (reachable) {
                reachable = false;
                log.write(
                        DecisionKind.DEPENDENCY_LOST, "cache-store", () -> "" + cause, "no answer");
            }
        }
    }
}
