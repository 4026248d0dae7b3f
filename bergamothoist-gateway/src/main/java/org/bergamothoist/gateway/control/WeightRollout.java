package org.bergamothoist.gateway.control;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetIncarnation;
import org.bergamothoist.core.fleet.TargetState;
import org.bergamothoist.core.gossip.DaemonReport;
import org.bergamothoist.core.lease.OrderLease;
import org.bergamothoist.core.rollout.LoadConcurrency;
import org.bergamothoist.core.rollout.LoadTimeEstimator;
import org.bergamothoist.core.rollout.RolloutPlanner;
import org.bergamothoist.core.rollout.RolloutSettings;
import org.bergamothoist.core.rollout.WeightOrder;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.state.ClusterView;

/**
 * Rolls out the newest requested weights to all engines while this daemon holds the lease for
 * orders. Confined to the event loop.
 *
 * <p>An engine first gets no new requests (preparation), then it is ordered to load, then it is
 * polled until it reports the new version. Only that report shows that an order took effect: an
 * order without a response may still be carried out later. Each order states how many orders the
 * engine has accepted before, so that a delayed order cannot undo a later one.
 */
public final class WeightRollout {

    /** Interval between planning rounds: a small part of the time of a load. */
    private static final Duration PLANNING_INTERVAL = Duration.ofMillis(100);

    /** Time without new requests before an order: until streams have ended or been moved. */
    private static final Duration PREPARATION_TIME =
            StreamMigrator.DRAIN_TIME.plus(Duration.ofMillis(50));

    /**
     * Time without new requests after which an engine without requests is ordered to load: until
     * other daemons have learned that it gets none.
     */
    private static final Duration MINIMUM_PREPARATION_TIME = Duration.ofMillis(250);

    /** Assumed load time until the first load has ended. */
    private static final Duration LOAD_TIME_WITHOUT_ESTIMATE = Duration.ofSeconds(2);

    /** Delay before an engine is ordered again after a failure. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(700);

    /** Time after which a load no longer counts as in progress if no report shows its end. */
    private static final Duration LOAD_TIMEOUT = Duration.ofSeconds(8);

    /** Time for which an engine stays marked as changing weights, unless it is marked again. */
    private static final Duration CHANGING_WEIGHTS_TTL = Duration.ofMillis(700);

    private final String self;
    private final ClusterView clusterView;
    private final EngineOrderClient orderClient;
    private final OrderLease lease;
    private final BooleanSupplier readsStore;
    private final Consumer<TargetIncarnation> onWeightChange;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final DecisionLog log;
    private final Limits limits;
    private final LoadTimeEstimator loadTimes = new LoadTimeEstimator();
    private final LoadConcurrency concurrency;
    private final Map<TargetIncarnation, LoadProgress> progressByEngine = new HashMap<>();

    /**
     * What bounds a rollout.
     *
     * @param longestOutdated time after which no request may start on outdated weights
     * @param prefillTokensPerMillisecond prompt tokens that an engine computes per millisecond
     */
    public record Limits(
            RolloutSettings settings,
            Duration longestOutdated,
            double prefillTokensPerMillisecond) {}

    /**
     * Creates a rollout that is not started yet.
     *
     * @param self name of this daemon
     * @param readsStore returns whether this daemon reads the store itself; only then does it
     *     acquire the lease
     * @param onWeightChange called when an engine is about to load weights and when it has loaded
     *     them, to tell other daemons and to move streams off an engine that is about to load
     */
    public WeightRollout(
            String self,
            ClusterView clusterView,
            EngineOrderClient orderClient,
            OrderLease lease,
            BooleanSupplier readsStore,
            Limits limits,
            Consumer<TargetIncarnation> onWeightChange,
            Scheduler scheduler,
            InstantSource clock,
            DecisionLog log) {
        this.self = self;
        this.clusterView = clusterView;
        this.orderClient = orderClient;
        this.lease = lease;
        this.readsStore = readsStore;
        this.limits = limits;
        this.concurrency = new LoadConcurrency(limits.settings(), loadTimes);
        this.onWeightChange = onWeightChange;
        this.scheduler = scheduler;
        this.clock = clock;
        this.log = log;
    }

    /** Starts the planning rounds. */
    public void start() {
        scheduler.schedule(PLANNING_INTERVAL, this::planAndOrder);
    }

    private void planAndOrder() {
        scheduler.schedule(PLANNING_INTERVAL, this::planAndOrder);
        if (readsStore.getAsBoolean()) {
            lease.observe();
        }
        Map<String, Integer> newest = clusterView.desiredWeightVersions().newestVersions();
        Instant now = clock.instant();
        progressByEngine.keySet().removeIf(incarnation -> !isRegistered(incarnation));
        progressByEngine.forEach((engine, progress) -> endLapsedPreparation(engine, progress, now));
        List<RolloutPlanner.EngineRolloutState> engines = engines(newest, now);
        boolean outdated =
                engines.stream().anyMatch(engine -> RolloutPlanner.isOutdated(engine, newest));
        boolean preparing =
                engines.stream()
                        .anyMatch(engine -> engine.phase() == RolloutPlanner.Phase.PREPARING);
        if (!outdated && !preparing) {
            return;
        }
        if (!shouldHoldLease()) {
            if (isFirstInLine()) {
                lease.watch();
            }
            return;
        }
        lease.acquireOrRenew();
        if (lease.usableFencingNumber().isEmpty()) {
            return;
        }
        int maximumLoads = concurrency.maximumLoads(situation(engines, newest, now));
        RolloutPlanner.plan(engines, newest, maximumLoads).forEach(order -> prepare(order, now));
        orderPrepared(newest, maximumLoads, now);
    }

    /**
     * Ends the preparation of an engine that is no longer marked as changing weights, because this
     * daemon was frozen or could not use the lease: the engine has got requests since.
     */
    private void endLapsedPreparation(
            TargetIncarnation engine, LoadProgress progress, Instant now) {
        if (!clusterView.targetStates().getOrCreate(engine).isChangingWeightsByOwnOrder(now)) {
            progress.preparationStartedAt = null;
        }
    }

    private LoadConcurrency.Situation situation(
            List<RolloutPlanner.EngineRolloutState> engines,
            Map<String, Integer> newest,
            Instant now) {
        double averagePrefillTokens =
                engines.stream()
                        .mapToLong(
                                engine ->
                                        clusterView
                                                .targetStates()
                                                .getOrCreate(engine.engine().incarnation())
                                                .load()
                                                .totalPrefillTokens(now))
                        .average()
                        .orElse(0);
        double queueingMilliseconds = averagePrefillTokens / limits.prefillTokensPerMillisecond();
        List<RolloutPlanner.EngineRolloutState> outdated =
                engines.stream()
                        .filter(engine -> RolloutPlanner.isOutdated(engine, newest))
                        .filter(RolloutPlanner.EngineRolloutState::reachable)
                        .toList();
        Instant outdatedSince =
                outdated.stream()
                        .flatMap(
                                engine ->
                                        clusterView
                                                .desiredWeightVersions()
                                                .outdatedSince(engine.model(), engine.version())
                                                .stream())
                        .min(Instant::compareTo)
                        .orElse(now);
        return new LoadConcurrency.Situation(
                engines.size(),
                outdated.size(),
                MINIMUM_PREPARATION_TIME.plus(
                        loadTimes.loadTime().orElse(LOAD_TIME_WITHOUT_ESTIMATE)),
                Duration.between(now, outdatedSince.plus(limits.longestOutdated())),
                queueingMilliseconds > limits.settings().busyQueueing().toMillis());
    }

    private boolean isRegistered(TargetIncarnation incarnation) {
        return clusterView
                .targets()
                .find(incarnation.id())
                .filter(target -> target.incarnation().equals(incarnation))
                .isPresent();
    }

    /**
     * Returns whether this daemon is the one to acquire or renew the lease. The last holder keeps
     * it while it is ready and reads the store; otherwise the first such daemon by name takes over.
     */
    private boolean shouldHoldLease() {
        if (lease.isHolder()) {
            return true;
        }
        boolean heldByOther = eligibleOthers().anyMatch(DaemonReport::orderHolder);
        return !heldByOther && isFirstInLine();
    }

    /** Returns whether this daemon takes over from the current holder of the lease. */
    private boolean isFirstInLine() {
        return readsStore.getAsBoolean() && isFirstByName();
    }

    private boolean isFirstByName() {
        return eligibleOthers()
                .filter(report -> !report.orderHolder())
                .allMatch(report -> self.compareTo(report.daemon().name()) < 0);
    }

    private Stream<DaemonReport> eligibleOthers() {
        return clusterView.daemons().aliveReports().stream()
                .filter(DaemonReport::ready)
                .filter(report -> report.storeReachable() && report.storeReader());
    }

    private List<RolloutPlanner.EngineRolloutState> engines(
            Map<String, Integer> newest, Instant now) {
        List<RolloutPlanner.EngineRolloutState> engines = new ArrayList<>();
        for (RegisteredTarget target : clusterView.targets().all()) {
            if (target.leaving()) {
                continue;
            }
            for (String model : target.weightVersions().keySet()) {
                if (newest.containsKey(model)) {
                    engines.add(rolloutState(target, model, now));
                }
            }
        }
        return engines;
    }

    private RolloutPlanner.EngineRolloutState rolloutState(
            RegisteredTarget target, String model, Instant now) {
        TargetState state = clusterView.targetStates().getOrCreate(target.incarnation());
        LoadProgress current = progressByEngine.get(target.incarnation());
        boolean awaitingRetry = current != null && now.isBefore(current.retryAt);
        int version = state.weightVersion().orElse(target.weightVersions().get(model));
        return new RolloutPlanner.EngineRolloutState(
                target,
                model,
                version,
                current == null
                        ? RolloutPlanner.Phase.NONE
                        : current.phase(now, nearlyLoadedAfter()),
                !awaitingRetry && state.health().isUsable(now),
                state.load().totalRequests(now));
    }

    private void prepare(WeightOrder order, Instant now) {
        LoadProgress current =
                progressByEngine.computeIfAbsent(
                        order.engine().incarnation(), engine -> new LoadProgress());
        current.preparationStartedAt = now;
        current.loading = false;
        markChangingWeights(order, now);
        onWeightChange.accept(order.engine().incarnation());
        if (!current.acceptedOrdersKnown) {
            poll(order, current, false);
        }
    }

    /** Orders the prepared engines to load, as long as another load can start. */
    private void orderPrepared(Map<String, Integer> newest, int maximumLoads, Instant now) {
        for (RolloutPlanner.EngineRolloutState engine : engines(newest, now)) {
            if (engine.phase() != RolloutPlanner.Phase.PREPARING) {
                continue;
            }
            WeightOrder order =
                    new WeightOrder(engine.engine(), engine.model(), newest.get(engine.model()));
            markChangingWeights(order, now);
            LoadProgress current = progressByEngine.get(engine.engine().incarnation());
            if (isDrained(engine, current, now)
                    && current.acceptedOrdersKnown
                    && RolloutPlanner.canStartLoad(engines(newest, now), maximumLoads)) {
                current.preparationStartedAt = null;
                current.loading = true;
                current.orderedAt = now;
                current.accepted = false;
                current.concurrentLoads = 0;
                updateConcurrentLoads(now);
                sendOrder(order, current);
            }
        }
    }

    private static boolean isDrained(
            RolloutPlanner.EngineRolloutState engine, LoadProgress progress, Instant now) {
        Duration preparation =
                engine.outstandingRequests() == 0 ? MINIMUM_PREPARATION_TIME : PREPARATION_TIME;
        return !now.isBefore(progress.preparationStartedAt.plus(preparation));
    }

    private void updateConcurrentLoads(Instant now) {
        List<LoadProgress> loads =
                progressByEngine.values().stream()
                        .filter(progress -> progress.isLoading(now))
                        .toList();
        loads.forEach(load -> load.concurrentLoads = Math.max(load.concurrentLoads, loads.size()));
    }

    private void markChangingWeights(WeightOrder order, Instant now) {
        clusterView
                .targetStates()
                .getOrCreate(order.engine().incarnation())
                .setChangingWeightsUntil(now.plus(CHANGING_WEIGHTS_TTL));
    }

    private void sendOrder(WeightOrder order, LoadProgress current) {
        OptionalLong fencingNumber = lease.usableFencingNumber();
        if (fencingNumber.isEmpty()) {
            current.loading = false;
            return;
        }
        long number = fencingNumber.getAsLong();
        orderClient
                .order(order, self, number, current.acceptedOrders, lease.usableFor())
                .whenComplete(
                        (result, failure) -> {
                            log.write(
                                    DecisionKind.ORDER,
                                    order.engine().id(),
                                    () ->
                                            "model="
                                                    + order.model()
                                                    + " version="
                                                    + order.version()
                                                    + " fencing="
                                                    + number
                                                    + " expected-orders="
                                                    + current.acceptedOrders,
                                    failure == null ? result.toString() : "" + failure);
                            onOrderResult(order, current, failure == null ? result : null);
                        });
    }

    /**
     * Handles the result of an order.
     *
     * @param result the result, or null if the call failed; the order may then be carried out
     */
    private void onOrderResult(
            WeightOrder order, LoadProgress current, EngineOrderClient.OrderResult result) {
        if (result == null) {
            pollLater(order, current, nextPollDelay(current));
            return;
        }
        switch (result) {
            case ACCEPTED -> {
                current.accepted = true;
                current.acceptedOrders++;
                pollLater(order, current, loadTimes.firstPollDelay());
            }
            case ALREADY_HOLDS, CONFLICT -> poll(order, current, true);
            case FENCED -> {
                lease.onFenced();
                retryLater(current);
            }
            case OTHER_INSTANCE, INVALID -> retryLater(current);
            default ->
                    throw new IllegalArgumentException("unsupported result of an order: " + result);
        }
    }

    private Duration nextPollDelay(LoadProgress progress) {
        return loadTimes.pollInterval(Duration.between(progress.orderedAt, clock.instant()));
    }

    private void retryLater(LoadProgress current) {
        current.loading = false;
        current.preparationStartedAt = null;
        current.retryAt = clock.instant().plus(RETRY_DELAY);
    }

    private void pollLater(WeightOrder order, LoadProgress current, Duration delay) {
        markWhileLoading(order, current);
        scheduler.schedule(delay, () -> poll(order, current, true));
    }

    /** Keeps the engine marked as changing weights for as long as the load takes. */
    private void markWhileLoading(WeightOrder order, LoadProgress current) {
        Instant now = clock.instant();
        if (!current.isLoading(now) || current.markScheduled) {
            return;
        }
        markChangingWeights(order, now);
        current.markScheduled = true;
        scheduler.schedule(
                CHANGING_WEIGHTS_TTL.dividedBy(2),
                () -> {
                    current.markScheduled = false;
                    markWhileLoading(order, current);
                });
    }

    /**
     * Reads the state of an engine.
     *
     * @param ordered whether the engine was ordered to load, or is still in preparation
     */
    private void poll(WeightOrder order, LoadProgress current, boolean ordered) {
        orderClient
                .report(order.engine(), order.model())
                .whenComplete(
                        (report, failure) -> {
                            if (failure == null) {
                                onReport(order, current, report, ordered);
                                return;
                            }
                            log.write(
                                    DecisionKind.ORDER,
                                    order.engine().id(),
                                    () -> "" + failure,
                                    "report of the engine not read");
                            retryLater(current);
                        });
    }

    private void onReport(
            WeightOrder order,
            LoadProgress current,
            EngineOrderClient.EngineReport report,
            boolean ordered) {
        current.acceptedOrders = report.acceptedOrders();
        current.acceptedOrdersKnown = true;
        if (report.busy() && ordered) {
            pollLater(order, current, nextPollDelay(current));
            return;
        }
        TargetState state = clusterView.targetStates().getOrCreate(order.engine().incarnation());
        if (report.weightVersion() > 0
                && state.weightVersion().orElse(0) != report.weightVersion()) {
            state.observeWeightVersion(report.weightVersion());
            clusterView.clearCachedParts(order.engine().incarnation());
        }
        if (report.weightVersion() >= order.version()) {
            completeLoad(order, current, report);
        } else if (ordered) {
            retryLater(current);
        }
    }

    private void completeLoad(
            WeightOrder order, LoadProgress current, EngineOrderClient.EngineReport report) {
        if (current.loading && current.accepted) {
            Duration duration = Duration.between(current.orderedAt, clock.instant());
            loadTimes.add(duration, current.concurrentLoads);
        }
        current.loading = false;
        current.preparationStartedAt = null;
        clusterView
                .targetStates()
                .getOrCreate(order.engine().incarnation())
                .setChangingWeightsUntil(clock.instant());
        log.write(
                DecisionKind.ORDER,
                order.engine().id(),
                () ->
                        "orders="
                                + report.acceptedOrders()
                                + " load-milliseconds="
                                + loadTimes
                                        .loadTime()
                                        .map(time -> "" + time.toMillis())
                                        .orElse("unknown")
                                + " concurrent="
                                + current.concurrentLoads,
                "has version " + report.weightVersion());
        onWeightChange.accept(order.engine().incarnation());
    }

    /** Time after an order at which the preparation of the next engine starts. */
    private Duration nearlyLoadedAfter() {
        return loadTimes
                .loadTime()
                .orElse(LOAD_TIME_WITHOUT_ESTIMATE)
                .minus(MINIMUM_PREPARATION_TIME);
    }

    private static final class LoadProgress {

        private boolean loading;
        private boolean markScheduled;
        private boolean acceptedOrdersKnown;
        private long acceptedOrders;
        private Instant preparationStartedAt;
        private Instant orderedAt = Instant.EPOCH;
        private boolean accepted;
        private int concurrentLoads;
        private Instant retryAt = Instant.EPOCH;

        private RolloutPlanner.Phase phase(Instant now, Duration nearlyLoadedAfter) {
            if (preparationStartedAt != null) {
                return RolloutPlanner.Phase.PREPARING;
            }
            if (!isLoading(now)) {
                return RolloutPlanner.Phase.NONE;
            }
            return now.isBefore(orderedAt.plus(nearlyLoadedAfter))
                    ? RolloutPlanner.Phase.LOADING
                    : RolloutPlanner.Phase.NEARLY_LOADED;
        }

        private boolean isLoading(Instant now) {
            return loading && now.isBefore(orderedAt.plus(LOAD_TIMEOUT));
        }
    }
}
