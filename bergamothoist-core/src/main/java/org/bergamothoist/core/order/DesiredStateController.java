package org.bergamothoist.core.order;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.function.Supplier;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.platform.EngineClient;
import org.bergamothoist.core.platform.LoadedModel;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetOrder;
import org.bergamothoist.core.platform.WeightStore;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.core.timeline.EventKind;
import org.bergamothoist.core.timeline.Timeline;

/**
 * Reconciles engines with their desired state while this daemon holds the lease. Confined to the
 * control thread; {@link #tick} is to be called about once a second.
 *
 * <p>Orders state the desired models and are repeated until the engine's report matches. At most
 * {@value #MAXIMUM_CONCURRENT_LOADS} engines load weights at once: an order whose effect is not yet
 * known counts as a load.
 */
public final class DesiredStateController {

    /**
     * Maximum number of engines that load at once; more slow each other down at the weight store.
     */
    public static final int MAXIMUM_CONCURRENT_LOADS = 2;

    /** Role of engines that serve callers. */
    static final String SERVING_ROLE = "serving";

    /**
     * Time for which a load counts as in progress if no report shows its end. An engine that
     * freezes while it loads resumes the load later; a longer timeout would let engines that died
     * while loading block the others.
     */
    static final Duration LOAD_TIMEOUT = Duration.ofSeconds(30);

    private final LeaseController lease;
    private final EngineClient engineClient;
    private final WeightStore weightStore;
    private final DesiredStatePlanner planner;
    private final Supplier<List<ReportedEngine>> engines;
    private final Supplier<Map<ModelKey, Long>> demand;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final Timeline timeline;
    private final Map<TargetId, PendingLoad> pendingLoads = new HashMap<>();
    private final Map<TargetId, Instant> orderInFlightUntil = new HashMap<>();
    private final Map<TargetId, Instant> loadingUntil = new HashMap<>();
    private final Set<ModelKey> storedWeights = new HashSet<>();
    private final Set<ModelKey> pendingLookups = new HashSet<>();

    /** Creates a controller. */
    public DesiredStateController(Dependencies dependencies) {
        this.lease = dependencies.lease();
        this.engineClient = dependencies.engineClient();
        this.weightStore = dependencies.weightStore();
        this.planner = dependencies.planner();
        this.engines = dependencies.engines();
        this.demand = dependencies.demand();
        this.scheduler = dependencies.scheduler();
        this.clock = dependencies.clock();
        this.timeline = dependencies.timeline();
    }

    /**
     * The collaborators of the controller.
     *
     * @param engines supplies the live engines that are not leaving, with their last reports
     * @param demand supplies the requested tokens per second by model, for every model that a sheet
     *     names
     */
    public record Dependencies(
            LeaseController lease,
            EngineClient engineClient,
            WeightStore weightStore,
            DesiredStatePlanner planner,
            Supplier<List<ReportedEngine>> engines,
            Supplier<Map<ModelKey, Long>> demand,
            Scheduler scheduler,
            InstantSource clock,
            Timeline timeline) {}

    private record PendingLoad(Set<ModelKey> models, Instant expiresAt) {}

    /** Compares desired and reported states and sends the orders that are due. */
    public void tick() {
        lease.tick();
        List<ReportedEngine> currentEngines = engines.get();
        updateLoadingEngines(currentEngines);
        if (lease.usableFencingNumber().isEmpty()) {
            pendingLoads.clear();
            orderInFlightUntil.clear();
            return;
        }
        removeFinishedLoads(currentEngines);
        Map<ModelKey, Long> currentDemand = demand.get();
        if (currentDemand.isEmpty()) {
            // Without a sheet it is unknown which models are needed, so that none may be unloaded.
            return;
        }
        SortedMap<TargetId, Set<ModelKey>> plan = planner.plan(currentEngines, currentDemand);
        for (ReportedEngine engine : currentEngines) {
            reconcile(
                    engine, plan.get(engine.target().id()), currentEngines, currentDemand.keySet());
        }
    }

    /** Also runs without the lease, since an engine may be silent when this daemon acquires it. */
    private void updateLoadingEngines(List<ReportedEngine> currentEngines) {
        Instant now = clock.instant();
        for (ReportedEngine engine : currentEngines) {
            if (isLoading(engine)) {
                loadingUntil.put(engine.target().id(), now.plus(LOAD_TIMEOUT));
            } else {
                loadingUntil.remove(engine.target().id());
            }
        }
        loadingUntil.values().removeIf(now::isAfter);
    }

    private void removeFinishedLoads(List<ReportedEngine> currentEngines) {
        Instant now = clock.instant();
        for (ReportedEngine engine : currentEngines) {
            PendingLoad pending = pendingLoads.get(engine.target().id());
            if (pending != null && readyModels(engine).containsAll(pending.models())) {
                pendingLoads.remove(engine.target().id());
            }
        }
        pendingLoads.values().removeIf(pending -> now.isAfter(pending.expiresAt()));
        orderInFlightUntil.values().removeIf(now::isAfter);
    }

    private void reconcile(
            ReportedEngine engine,
            Set<ModelKey> desired,
            List<ReportedEngine> currentEngines,
            Set<ModelKey> requestedModels) {
        Set<ModelKey> held = heldModels(engine);
        if (held.equals(desired)) {
            return;
        }
        Set<ModelKey> missing = new HashSet<>(desired);
        missing.removeAll(held);
        if (dropsLastReplica(engine, desired, currentEngines, requestedModels)) {
            return;
        }
        if (!mayLoad(engine, missing)) {
            return;
        }
        send(engine.target(), desired, missing);
    }

    /** Returns whether the order would unload a needed model that is ready on no other engine. */
    private static boolean dropsLastReplica(
            ReportedEngine engine,
            Set<ModelKey> desired,
            List<ReportedEngine> currentEngines,
            Set<ModelKey> requestedModels) {
        return readyModels(engine).stream()
                .filter(key -> !desired.contains(key))
                .filter(requestedModels::contains)
                .anyMatch(key -> !isReadyElsewhere(key, currentEngines, engine));
    }

    private static boolean isReadyElsewhere(
            ModelKey key, List<ReportedEngine> currentEngines, ReportedEngine except) {
        return currentEngines.stream()
                .filter(other -> other != except)
                .anyMatch(other -> readyModels(other).contains(key));
    }

    /**
     * Returns whether an order that may cause the engine to load weights can be sent. Any order
     * may: an engine that was restarted after its last report holds no models and loads all models
     * of the order.
     */
    private boolean mayLoad(ReportedEngine engine, Set<ModelKey> missing) {
        if (!missing.stream().allMatch(this::areWeightsStored)) {
            return false;
        }
        Set<TargetId> loading = new HashSet<>(pendingLoads.keySet());
        loading.addAll(orderInFlightUntil.keySet());
        loading.addAll(loadingUntil.keySet());
        return loading.contains(engine.target().id()) || loading.size() < MAXIMUM_CONCURRENT_LOADS;
    }

    private boolean areWeightsStored(ModelKey key) {
        if (storedWeights.contains(key)) {
            return true;
        }
        if (pendingLookups.add(key)) {
            weightStore
                    .contains(key)
                    .whenComplete(
                            (stored, failure) ->
                                    scheduler.execute(
                                            () -> {
                                                pendingLookups.remove(key);
                                                if (failure == null && stored) {
                                                    storedWeights.add(key);
                                                }
                                            }));
        }
        return false;
    }

    private void send(Target target, Set<ModelKey> desired, Set<ModelKey> missing) {
        Optional<Long> fencingNumber = lease.usableFencingNumber();
        if (fencingNumber.isEmpty()) {
            return;
        }
        Instant now = clock.instant();
        if (!missing.isEmpty()) {
            pendingLoads.put(target.id(), new PendingLoad(missing, now.plus(LOAD_TIMEOUT)));
        }
        orderInFlightUntil.put(target.id(), now.plus(LeaseController.MAXIMUM_ORDER_FLIGHT_TIME));
        TargetOrder order =
                new TargetOrder(
                        desired,
                        SERVING_ROLE,
                        fencingNumber.get(),
                        now.plus(LeaseController.MAXIMUM_ORDER_FLIGHT_TIME));
        timeline.record(
                EventKind.ORDER_SENT,
                target.id().toString(),
                desired.size() + " models, fencing number " + fencingNumber.get());
        engineClient.order(target, order);
    }

    private static Set<ModelKey> heldModels(ReportedEngine engine) {
        Set<ModelKey> keys = new HashSet<>();
        engine.report().models().forEach(model -> keys.add(model.key()));
        return keys;
    }

    private static Set<ModelKey> readyModels(ReportedEngine engine) {
        Set<ModelKey> keys = new HashSet<>();
        engine.report().models().stream()
                .filter(model -> model.state() == LoadedModel.State.READY)
                .forEach(model -> keys.add(model.key()));
        return keys;
    }

    private static boolean isLoading(ReportedEngine engine) {
        return engine.report().models().stream()
                .anyMatch(model -> model.state() == LoadedModel.State.LOADING);
    }
}
