package org.bergamothoist.core.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.placement.UnsupportedEngineClient;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.LoadedModel;
import org.bergamothoist.core.platform.PlatformException;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetKind;
import org.bergamothoist.core.platform.TargetOrder;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.bergamothoist.core.timeline.BoundedTimeline;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class DesiredStateControllerTest {

    private static final ModelKey V1 = new ModelKey("lamp-models", "reply", "v1");
    private static final ModelKey V2 = new ModelKey("lamp-models", "reply", "v2");
    private static final Duration LOAD_TIME = Duration.ofSeconds(2);

    private final VirtualTimeScheduler time =
            new VirtualTimeScheduler(Instant.EPOCH.plusSeconds(10_000));
    private final FakeEngines engines = new FakeEngines(6);
    private final Map<ModelKey, Long> demand = new HashMap<>(Map.of(V1, 10L));
    private boolean weightStoreDown;

    private DesiredStateController controller(InMemoryLeaseLog log) {
        DaemonId daemon = new DaemonId("entry-1", 1);
        BoundedTimeline timeline = new BoundedTimeline(daemon, time);
        return new DesiredStateController(
                new DesiredStateController.Dependencies(
                        new LeaseController("orders", daemon, log, time, timeline),
                        engines,
                        this::weightsStored,
                        new DesiredStatePlanner(2),
                        engines::reportedEngines,
                        () -> demand,
                        time,
                        time,
                        timeline));
    }

    private long maximumObservedLoads;

    private CompletionStage<Boolean> weightsStored(ModelKey key) {
        return weightStoreDown
                ? CompletableFuture.failedFuture(new PlatformException("weight store is down"))
                : CompletableFuture.completedFuture(true);
    }

    private void run(DesiredStateController controller, int seconds) {
        for (int second = 0; second < seconds; second++) {
            controller.tick();
            time.runDueTasks();
            maximumObservedLoads = Math.max(maximumObservedLoads, engines.countLoading());
            assertThat(maximumObservedLoads)
                    .isLessThanOrEqualTo(DesiredStateController.MAXIMUM_CONCURRENT_LOADS);
            time.advance(Duration.ofSeconds(1));
        }
    }

    /** A fault in the delivery of orders. */
    enum OrderFault {
        NONE,
        LOST,
        DELAYED
    }

    /** Guards against more than two loads at once, also when orders are lost or delayed. */
    @ParameterizedTest
    @EnumSource(OrderFault.class)
    void updatesAllEnginesTwoAtATime(OrderFault fault) {
        engines.fault = fault;
        DesiredStateController controller = controller(new InMemoryLeaseLog(time));
        run(controller, 40);
        assertThat(engines.allReady(V1)).isTrue();
        demand.put(V2, 10L);
        demand.remove(V1);
        run(controller, 120);
        assertThat(engines.allReady(V2)).isTrue();
        assertThat(engines.anyHolds(V1)).isFalse();
        assertThat(engines.anyOutage).isFalse();
    }

    /** Guards against orders to load weights that the store cannot deliver. */
    @Test
    void sendsNoOrdersWhileWeightStoreIsDown() {
        weightStoreDown = true;
        DesiredStateController controller = controller(new InMemoryLeaseLog(time));
        run(controller, 20);
        assertThat(engines.orders).isEmpty();
        weightStoreDown = false;
        run(controller, 40);
        assertThat(engines.allReady(V1)).isTrue();
    }

    /** Guards against orders without a lease. */
    @Test
    void sendsNoOrdersWhileLogIsDown() {
        InMemoryLeaseLog log = new InMemoryLeaseLog(time);
        log.available = false;
        run(controller(log), 30);
        assertThat(engines.orders).isEmpty();
    }

    /**
     * Guards against a third load caused by an order to unload a model: an engine that was
     * restarted after its last report loads all models of the order.
     */
    @Test
    void ordersToRestartedEnginesCountAsLoads() {
        demand.put(V2, 10L);
        DesiredStateController controller = controller(new InMemoryLeaseLog(time));
        run(controller, 60);
        assertThat(engines.allReady(V2)).isTrue();
        engines.restartUnnoticed();
        demand.remove(V2);
        maximumObservedLoads = 0;
        run(controller, 6);
        assertThat(maximumObservedLoads).isPositive();
    }

    /** Guards against a third load while a loading engine is frozen and does not report. */
    @Test
    void silentLoadingEngineCountsAsLoading() {
        DesiredStateController controller = controller(new InMemoryLeaseLog(time));
        while (engines.countLoading() == 0) {
            run(controller, 1);
        }
        engines.freezeLoadingEngines(Duration.ofSeconds(25));
        maximumObservedLoads = 0;
        run(controller, 24);
        assertThat(maximumObservedLoads).isPositive();
    }

    /** Engines whose loads take two seconds. */
    private final class FakeEngines extends UnsupportedEngineClient {

        private final Map<Target, Map<ModelKey, Instant>> readyAt = new LinkedHashMap<>();
        private final List<TargetOrder> orders = new ArrayList<>();
        private final Set<TargetId> silent = new HashSet<>();
        private List<ReportedEngine> staleReports = List.of();
        private OrderFault fault = OrderFault.NONE;
        private int receivedOrders;
        private boolean anyOutage;
        private boolean wasReady;

        FakeEngines(int count) {
            for (int number = 0; number < count; number++) {
                Target target =
                        new Target(
                                new TargetId("lamp-" + number),
                                TargetKind.MODEL_ENGINE,
                                "lamp-models",
                                "127.0.0.1",
                                1,
                                "muscat-a");
                readyAt.put(target, new HashMap<>());
            }
        }

        /** Restarts all engines without models; their last reports still show the models. */
        void restartUnnoticed() {
            staleReports = reportedEngines();
            readyAt.values().forEach(Map::clear);
        }

        /** Freezes the loading engines: they do not report, and their loads end only later. */
        void freezeLoadingEngines(Duration duration) {
            Instant now = time.instant();
            readyAt.forEach(
                    (target, models) -> {
                        if (models.values().stream().anyMatch(now::isBefore)) {
                            silent.add(target.id());
                            models.replaceAll((key, ready) -> now.plus(duration));
                        }
                    });
        }

        List<ReportedEngine> reportedEngines() {
            return staleReports.isEmpty() ? currentReports() : staleReports;
        }

        private List<ReportedEngine> currentReports() {
            return readyAt.entrySet().stream()
                    .filter(entry -> !silent.contains(entry.getKey().id()))
                    .map(entry -> new ReportedEngine(entry.getKey(), report(entry.getValue())))
                    .toList();
        }

        private EngineReport report(Map<ModelKey, Instant> models) {
            List<LoadedModel> loaded =
                    models.entrySet().stream()
                            .map(entry -> new LoadedModel(entry.getKey(), state(entry.getValue())))
                            .toList();
            return new EngineReport(
                    new EngineIncarnation("i"), loaded, 0, 0, time.instant(), 0, false, true);
        }

        private LoadedModel.State state(Instant ready) {
            return time.instant().isBefore(ready)
                    ? LoadedModel.State.LOADING
                    : LoadedModel.State.READY;
        }

        long countLoading() {
            boolean ready = !demand.isEmpty() && readySomewhere();
            anyOutage |= wasReady && !ready;
            wasReady |= ready;
            return readyAt.values().stream()
                    .filter(models -> models.values().stream().anyMatch(time.instant()::isBefore))
                    .count();
        }

        private boolean readySomewhere() {
            return readyAt.values().stream()
                    .flatMap(models -> models.values().stream())
                    .anyMatch(ready -> !time.instant().isBefore(ready));
        }

        boolean allReady(ModelKey key) {
            return readyAt.values().stream()
                    .allMatch(
                            models ->
                                    models.containsKey(key)
                                            && !time.instant().isBefore(models.get(key)));
        }

        boolean anyHolds(ModelKey key) {
            return readyAt.values().stream().anyMatch(models -> models.containsKey(key));
        }

        @Override
        public CompletionStage<Void> order(Target target, TargetOrder order) {
            orders.add(order);
            receivedOrders++;
            if (fault == OrderFault.LOST && receivedOrders % 2 == 0) {
                return CompletableFuture.failedFuture(new PlatformException("lost"));
            }
            Duration delay = fault == OrderFault.DELAYED ? Duration.ofMillis(1_500) : Duration.ZERO;
            time.schedule(delay, () -> execute(target, order));
            return CompletableFuture.completedFuture(null);
        }

        private void execute(Target target, TargetOrder order) {
            if (time.instant().isAfter(order.deadline())) {
                return;
            }
            Map<ModelKey, Instant> models = readyAt.get(target);
            Set<ModelKey> added = new HashSet<>(order.models());
            added.removeAll(models.keySet());
            models.keySet().retainAll(order.models());
            added.forEach(key -> models.put(key, time.instant().plus(LOAD_TIME)));
        }
    }
}
