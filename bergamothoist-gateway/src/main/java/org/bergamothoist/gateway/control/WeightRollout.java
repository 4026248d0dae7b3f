package org.bergamothoist.gateway.control;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetIncarnation;
import org.bergamothoist.core.fleet.TargetState;
import org.bergamothoist.core.gossip.DaemonReport;
import org.bergamothoist.core.lease.OrderLease;
import org.bergamothoist.core.rollout.RolloutPlanner;
import org.bergamothoist.core.rollout.WeightOrder;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.state.Beliefs;

/**
 * Brings the newest named weights to every engine, if this daemon is the one to order. Confined to
 * the event loop.
 *
 * <p>An engine's report decides whether an order took effect. An order without an answer may still
 * be carried out; the expected number of orders keeps it from undoing a later one.
 */
public final class WeightRollout {

    /** Interval between looks at what there is to order: a small part of a load's time. */
    private static final Duration INTERVAL = Duration.ofMillis(100);

    /** Time without new requests before an order: until streams have ended or left. */
    private static final Duration PREPARATION =
            StreamDeparture.TIME_TO_END.plus(Duration.ofMillis(50));

    /**
     * Time after an order when the next engine is prepared: a load of 1.9 s, stated by the users,
     * the end of running requests and the age of reports (2.3 to 2.9 s together in measured days),
     * less the preparation.
     */
    private static final Duration NEARLY_LOADED = Duration.ofMillis(2_100);

    /** Time after an order before the engine is asked for its state: no load ends sooner. */
    private static final Duration FIRST_QUESTION = Duration.ofMillis(2_000);

    /** Interval between questions to an engine that loads. */
    private static final Duration NEXT_QUESTION = Duration.ofMillis(150);

    /** Pause before an engine that answered with a failure is ordered again. */
    private static final Duration FAILURE_PAUSE = Duration.ofMillis(700);

    /** Time after which a load whose engine does not report no longer counts as in progress. */
    private static final Duration LONGEST_LOAD = Duration.ofSeconds(8);

    /** Time for which other requests are kept from an engine that loads, unless it is renewed. */
    private static final Duration CHANGE_TIME = Duration.ofMillis(700);

    /** Prompt tokens that wait at an engine on average when it is busy: about 0.25 s of reading. */
    private static final double BUSY_PREFILL_TOKENS = 18_000;

    private final String self;
    private final Beliefs beliefs;
    private final EngineOrders orders;
    private final OrderLease lease;
    private final Consumer<TargetIncarnation> onChanging;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final DecisionLog log;
    private final Map<TargetIncarnation, Progress> progress = new HashMap<>();

    /**
     * Creates a rollout that does nothing yet.
     *
     * @param self name of this daemon
     * @param onChanging moves work off an engine, on this daemon and the others
     */
    public WeightRollout(
            String self,
            Beliefs beliefs,
            EngineOrders orders,
            OrderLease lease,
            Consumer<TargetIncarnation> onChanging,
            Scheduler scheduler,
            InstantSource clock,
            DecisionLog log) {
        this.self = self;
        this.beliefs = beliefs;
        this.orders = orders;
        this.lease = lease;
        this.onChanging = onChanging;
        this.scheduler = scheduler;
        this.clock = clock;
        this.log = log;
    }

    /** Starts to look for work. */
    public void start() {
        scheduler.schedule(INTERVAL, this::look);
    }

    private void look() {
        scheduler.schedule(INTERVAL, this::look);
        Map<String, Integer> newest = beliefs.namedWeights().newestVersions();
        Instant now = clock.instant();
        List<RolloutPlanner.EngineRolloutState> engines = engines(newest, now);
        progress.keySet().removeIf(known -> !isPresent(known));
        boolean outdated =
                engines.stream().anyMatch(engine -> RolloutPlanner.isOutdated(engine, newest));
        boolean underWay =
                engines.stream()
                        .anyMatch(engine -> engine.phase() == RolloutPlanner.Phase.PREPARING);
        if (!outdated && !underWay || !isCandidate()) {
            return;
        }
        lease.acquireOrRenew();
        if (lease.usableFencingNumber().isEmpty()) {
            return;
        }
        RolloutPlanner.plan(engines, newest, mostLoading(engines, now))
                .forEach(order -> prepare(order, now));
        orderPrepared(engines(newest, now), newest, now);
    }

    private int mostLoading(List<RolloutPlanner.EngineRolloutState> engines, Instant now) {
        double waiting =
                engines.stream()
                        .mapToLong(
                                engine ->
                                        beliefs.targetStates()
                                                .getOrCreate(engine.engine().incarnation())
                                                .load()
                                                .totalPrefillTokens(now))
                        .average()
                        .orElse(0);
        return waiting > BUSY_PREFILL_TOKENS
                ? RolloutPlanner.MAXIMUM_LOADS_WHEN_BUSY
                : RolloutPlanner.MAXIMUM_LOADS;
    }

    private boolean isPresent(TargetIncarnation incarnation) {
        return beliefs.targets()
                .find(incarnation.id())
                .filter(target -> target.incarnation().equals(incarnation))
                .isPresent();
    }

    /**
     * The last holder goes on while it is alive and reaches the store; otherwise the first ready
     * daemon by name takes over.
     */
    private boolean isCandidate() {
        List<DaemonReport> able =
                beliefs.daemons().aliveReports().stream()
                        .filter(report -> report.ready() && report.storeReachable())
                        .toList();
        boolean otherHolds = able.stream().anyMatch(DaemonReport::orderHolder);
        if (lease.isHolder()) {
            return true;
        }
        return !otherHolds
                && able.stream().allMatch(report -> self.compareTo(report.daemon().name()) < 0);
    }

    private List<RolloutPlanner.EngineRolloutState> engines(
            Map<String, Integer> newest, Instant now) {
        List<RolloutPlanner.EngineRolloutState> engines = new ArrayList<>();
        for (RegisteredTarget target : beliefs.targets().all()) {
            if (target.leaving()) {
                continue;
            }
            for (String model : target.weightVersions().keySet()) {
                if (newest.containsKey(model)) {
                    engines.add(view(target, model, now));
                }
            }
        }
        return engines;
    }

    private RolloutPlanner.EngineRolloutState view(
            RegisteredTarget target, String model, Instant now) {
        TargetState state = beliefs.targetStates().getOrCreate(target.incarnation());
        Progress known = progress.get(target.incarnation());
        boolean paused = known != null && now.isBefore(known.pausedUntil);
        int version = state.weightVersion().orElse(target.weightVersions().get(model));
        return new RolloutPlanner.EngineRolloutState(
                target,
                model,
                version,
                known == null ? RolloutPlanner.Phase.NONE : known.phase(now),
                !paused && state.health().isUsable(now),
                state.load().totalRequests(now));
    }

    private void prepare(WeightOrder order, Instant now) {
        Progress current =
                progress.computeIfAbsent(order.engine().incarnation(), engine -> new Progress());
        current.preparedAt = now;
        current.loading = false;
        keepRequestsAway(order, now);
        onChanging.accept(order.engine().incarnation());
        if (!current.ordersKnown) {
            ask(order, current, false);
        }
    }

    /** Orders the engines whose preparation is over, while few enough load. */
    private void orderPrepared(
            List<RolloutPlanner.EngineRolloutState> engines,
            Map<String, Integer> newest,
            Instant now) {
        for (RolloutPlanner.EngineRolloutState engine : engines) {
            if (engine.phase() != RolloutPlanner.Phase.PREPARING) {
                continue;
            }
            WeightOrder order =
                    new WeightOrder(engine.engine(), engine.model(), newest.get(engine.model()));
            keepRequestsAway(order, now);
            Progress current = progress.get(engine.engine().incarnation());
            boolean prepared = !now.isBefore(current.preparedAt.plus(PREPARATION));
            if (prepared
                    && current.ordersKnown
                    && RolloutPlanner.canStartLoad(engines(newest, now))) {
                current.preparedAt = null;
                current.loading = true;
                current.orderedAt = now;
                send(order, current);
            }
        }
    }

    private void keepRequestsAway(WeightOrder order, Instant now) {
        beliefs.targetStates()
                .getOrCreate(order.engine().incarnation())
                .setChangingWeightsUntil(now.plus(CHANGE_TIME));
    }

    private void send(WeightOrder order, Progress current) {
        OptionalLong fencingNumber = lease.usableFencingNumber();
        if (fencingNumber.isEmpty()) {
            current.loading = false;
            return;
        }
        long number = fencingNumber.getAsLong();
        orders.order(order, self, number, current.orders)
                .whenComplete(
                        (answer, failure) -> {
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
                                                    + current.orders,
                                    failure == null ? answer.toString() : "" + failure);
                            onAnswer(order, current, failure == null ? answer : null);
                        });
    }

    /** An order without an answer is treated as one that may be carried out. */
    private void onAnswer(WeightOrder order, Progress current, EngineOrders.Answer answer) {
        if (answer == null) {
            askLater(order, current, NEXT_QUESTION);
            return;
        }
        switch (answer) {
            case ACCEPTED -> {
                current.orders++;
                askLater(order, current, FIRST_QUESTION);
            }
            case ALREADY_HOLDS, CONFLICT -> ask(order, current, true);
            case FENCED -> {
                lease.onFenced();
                pause(current);
            }
            case OTHER_INSTANCE, INVALID -> pause(current);
            default -> throw new IllegalArgumentException("unknown answer " + answer);
        }
    }

    private void pause(Progress current) {
        current.loading = false;
        current.preparedAt = null;
        current.pausedUntil = clock.instant().plus(FAILURE_PAUSE);
    }

    private void askLater(WeightOrder order, Progress current, Duration delay) {
        renewWhileLoading(order, current);
        scheduler.schedule(delay, () -> ask(order, current, true));
    }

    /** Keeps requests away for as long as the load takes. */
    private void renewWhileLoading(WeightOrder order, Progress current) {
        Instant now = clock.instant();
        if (!current.isLoading(now) || current.renewing) {
            return;
        }
        keepRequestsAway(order, now);
        current.renewing = true;
        scheduler.schedule(
                CHANGE_TIME.dividedBy(2),
                () -> {
                    current.renewing = false;
                    renewWhileLoading(order, current);
                });
    }

    /**
     * Asks an engine for its state.
     *
     * @param ordered whether the engine was ordered, or is only prepared
     */
    private void ask(WeightOrder order, Progress current, boolean ordered) {
        orders.report(order.engine(), order.model())
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
                                    "no report");
                            pause(current);
                        });
    }

    private void onReport(
            WeightOrder order,
            Progress current,
            EngineOrders.EngineReport report,
            boolean ordered) {
        current.orders = report.orders();
        current.ordersKnown = true;
        if (report.busy() && ordered) {
            askLater(order, current, NEXT_QUESTION);
            return;
        }
        TargetState state = beliefs.targetStates().getOrCreate(order.engine().incarnation());
        if (report.version() > 0 && state.weightVersion().orElse(0) != report.version()) {
            state.observeWeightVersion(report.version());
            beliefs.forgetCache(order.engine().incarnation());
        }
        if (report.version() >= order.version()) {
            finish(order, current, report);
        } else if (ordered) {
            pause(current);
        }
    }

    private void finish(WeightOrder order, Progress current, EngineOrders.EngineReport report) {
        current.loading = false;
        current.preparedAt = null;
        beliefs.targetStates()
                .getOrCreate(order.engine().incarnation())
                .setChangingWeightsUntil(clock.instant());
        log.write(
                DecisionKind.ORDER,
                order.engine().id(),
                () -> "orders=" + report.orders(),
                "has version " + report.version());
        onChanging.accept(order.engine().incarnation());
    }

    private static final class Progress {

        private boolean loading;
        private boolean renewing;
        private boolean ordersKnown;
        private long orders;
        private Instant preparedAt;
        private Instant orderedAt = Instant.EPOCH;
        private Instant pausedUntil = Instant.EPOCH;

        private RolloutPlanner.Phase phase(Instant now) {
            if (preparedAt != null) {
                return RolloutPlanner.Phase.PREPARING;
            }
            if (!isLoading(now)) {
                return RolloutPlanner.Phase.NONE;
            }
            return now.isBefore(orderedAt.plus(NEARLY_LOADED))
                    ? RolloutPlanner.Phase.LOADING
                    : RolloutPlanner.Phase.NEARLY_LOADED;
        }

        private boolean isLoading(Instant now) {
            return loading && now.isBefore(orderedAt.plus(LONGEST_LOAD));
        }
    }
}
