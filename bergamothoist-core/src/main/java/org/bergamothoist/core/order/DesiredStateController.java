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
 * Brings engines to their desired state while this daemon holds the lease. Confined to the control
 * thread; {@link #tick} is called about once a second.
 *
 * <p>Orders are declarative and repeated until the engine's report matches. At most {@value
 * #MAXIMUM_LOADING} engines load weights at once: an order whose effect is not yet known counts as
 * loading.
 */
public final class OrderController {

    /** More concurrent loads slow each other down at the weight store. */
    public static final int MAXIMUM_LOADING = 2;

    /** Role of engines that answer callers. */
    static final String SERVING_ROLE = "serving";

    /**
     * Time for which a load counts as running although no report shows its end. An engine that
     * stands still while it loads goes on loading later; a longer time would let engines that died
     * while loading block the others.
     */
    static final Duration IN_DOUBT = Duration.ofSeconds(30);

    private final LeaseController lease;
    private final EngineClient engineClient;
    private final WeightStore weightStore;
    private final DesiredStatePlanner planner;
    private final Supplier<List<EngineView>> engines;
    private final Supplier<Map<ModelKey, Long>> demand;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final Timeline timeline;
    private final Map<TargetId, PendingLoad> pendingLoads = new HashMap<>();
    private final Map<TargetId, Instant> inFlightUntil = new HashMap<>();
    private final Map<TargetId, Instant> loadingUntil = new HashMap<>();
    private final Set<ModelKey> storedWeights = new HashSet<>();
    private final Set<ModelKey> openLookups = new HashSet<>();

    /** Creates a controller. */
    public OrderController(Parts parts) {
        this.lease = parts.lease();
        this.engineClient = parts.engineClient();
        this.weightStore = parts.weightStore();
        this.planner = parts.planner();
        this.engines = parts.engines();
        this.demand = parts.demand();
        this.scheduler = parts.scheduler();
        this.clock = parts.clock();
        this.timeline = parts.timeline();
    }

    /**
     * What the controller works with.
     *
     * @param engines live engines that are not leaving, with their reports
     * @param demand tokens a second asked for, for each model that a sheet names
     */
    public record Parts(
            LeaseController lease,
            EngineClient engineClient,
            WeightStore weightStore,
            DesiredStatePlanner planner,
            Supplier<List<EngineView>> engines,
            Supplier<Map<ModelKey, Long>> demand,
            Scheduler scheduler,
            InstantSource clock,
            Timeline timeline) {}

    private record PendingLoad(Set<ModelKey> models, Instant inDoubtUntil) {}

    /** Compares desired and reported states and gives the orders that are due. */
    public void tick() {
        lease.tick();
        List<EngineView> current = engines.get();
        noteLoading(current);
        if (lease.usableFencingNumber().isEmpty()) {
            pendingLoads.clear();
            inFlightUntil.clear();
            return;
        }
        forgetSettledLoads(current);
        Map<ModelKey, Long> currentDemand = demand.get();
        if (currentDemand.isEmpty()) {
            // Without a sheet nothing is known to be unwanted.
            return;
        }
        SortedMap<TargetId, Set<ModelKey>> plan = planner.plan(current, currentDemand);
        for (EngineView engine : current) {
            reconcile(engine, plan.get(engine.target().id()), current, currentDemand.keySet());
        }
    }

    /** Also without the lease, since an engine may be silent when this daemon acquires it. */
    private void noteLoading(List<EngineView> current) {
        Instant now = clock.instant();
        for (EngineView engine : current) {
            if (loading(engine)) {
                loadingUntil.put(engine.target().id(), now.plus(IN_DOUBT));
            } else {
                loadingUntil.remove(engine.target().id());
            }
        }
        loadingUntil.values().removeIf(now::isAfter);
    }

    private void forgetSettledLoads(List<EngineView> current) {
        Instant now = clock.instant();
        for (EngineView engine : current) {
            PendingLoad pending = pendingLoads.get(engine.target().id());
            if (pending != null && ready(engine).containsAll(pending.models())) {
                pendingLoads.remove(engine.target().id());
            }
        }
        pendingLoads.values().removeIf(pending -> now.isAfter(pending.inDoubtUntil()));
        inFlightUntil.values().removeIf(now::isAfter);
    }

    private void reconcile(
            EngineView engine,
            Set<ModelKey> desired,
            List<EngineView> current,
            Set<ModelKey> wanted) {
        Set<ModelKey> held = held(engine);
        if (held.equals(desired)) {
            return;
        }
        Set<ModelKey> missing = new HashSet<>(desired);
        missing.removeAll(held);
        if (dropsLastReplica(engine, desired, current, wanted)) {
            return;
        }
        if (!mayLoad(engine, missing)) {
            return;
        }
        send(engine.target(), desired, missing);
    }

    /** A model must be ready elsewhere before the only engine that has it gives it up. */
    private static boolean dropsLastReplica(
            EngineView engine,
            Set<ModelKey> desired,
            List<EngineView> current,
            Set<ModelKey> wanted) {
        return ready(engine).stream()
                .filter(key -> !desired.contains(key))
                .filter(wanted::contains)
                .anyMatch(key -> !readyElsewhere(key, current, engine));
    }

    private static boolean readyElsewhere(
            ModelKey key, List<EngineView> current, EngineView except) {
        return current.stream()
                .filter(other -> other != except)
                .anyMatch(other -> ready(other).contains(key));
    }

    /**
     * Returns whether an order may be given that might make the engine load weights. Any order
     * might: an engine that was restarted after its report has nothing, and loads all that is
     * ordered.
     */
    private boolean mayLoad(EngineView engine, Set<ModelKey> missing) {
        if (!missing.stream().allMatch(this::weightsStored)) {
            return false;
        }
        Set<TargetId> loading = new HashSet<>(pendingLoads.keySet());
        loading.addAll(inFlightUntil.keySet());
        loading.addAll(loadingUntil.keySet());
        return loading.contains(engine.target().id()) || loading.size() < MAXIMUM_LOADING;
    }

    private boolean weightsStored(ModelKey key) {
        if (storedWeights.contains(key)) {
            return true;
        }
        if (openLookups.add(key)) {
            weightStore
                    .contains(key)
                    .whenComplete(
                            (stored, failure) ->
                                    scheduler.execute(
                                            () -> {
                                                openLookups.remove(key);
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
            pendingLoads.put(target.id(), new PendingLoad(missing, now.plus(IN_DOUBT)));
        }
        inFlightUntil.put(target.id(), now.plus(LeaseController.FLIGHT_TIME));
        TargetOrder order =
                new TargetOrder(
                        desired,
                        SERVING_ROLE,
                        fencingNumber.get(),
                        now.plus(LeaseController.FLIGHT_TIME));
        timeline.record(
                EventKind.ORDER_SENT,
                target.id().toString(),
                desired.size() + " models, fencing number " + fencingNumber.get());
        engineClient.order(target, order);
    }

    private static Set<ModelKey> held(EngineView engine) {
        Set<ModelKey> keys = new HashSet<>();
        engine.report().models().forEach(model -> keys.add(model.key()));
        return keys;
    }

    private static Set<ModelKey> ready(EngineView engine) {
        Set<ModelKey> keys = new HashSet<>();
        engine.report().models().stream()
                .filter(model -> model.state() == LoadedModel.State.READY)
                .forEach(model -> keys.add(model.key()));
        return keys;
    }

    private static boolean loading(EngineView engine) {
        return engine.report().models().stream()
                .anyMatch(model -> model.state() == LoadedModel.State.LOADING);
    }
}
