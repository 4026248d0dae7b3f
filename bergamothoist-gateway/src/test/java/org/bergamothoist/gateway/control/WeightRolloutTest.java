package org.bergamothoist.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetIncarnation;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.lease.LeaseTopic;
import org.bergamothoist.core.lease.OrderLease;
import org.bergamothoist.core.rollout.RolloutPlanner;
import org.bergamothoist.core.rollout.WeightOrder;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.bergamothoist.gateway.state.Beliefs;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The rollout of new weights over engines whose loads end later than the figure in their sheet. */
class WeightRolloutTest {

    private static final Duration STATED_LOAD_TIME = Duration.ofMillis(1_900);
    private static final Duration REPORT_AGE = Duration.ofMillis(300);
    private static final Duration STEP = Duration.ofMillis(50);
    private static final String MODEL = "m";

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final Beliefs beliefs = Beliefs.empty(new DaemonId("daemon-1", 1), time);
    private final Map<String, LoadingEngine> engines = new HashMap<>();
    private final Map<String, Instant> departures = new HashMap<>();
    private final StreamDeparture departure =
            new StreamDeparture(id -> departures.putIfAbsent(id, time.instant()), time);
    private Duration longestUnused = Duration.ZERO;
    private int mostLoading;
    private int leastServing = Integer.MAX_VALUE;

    /** Finishes what runs, then loads; its reports are some time old. */
    private static final class LoadingEngine {

        private Instant endsAt = Instant.MAX;
        private int orders;

        boolean isLoading(Instant now) {
            return orders > 0 && now.isBefore(endsAt);
        }

        EngineOrders.EngineReport report(Instant now) {
            Instant seen = now.minus(REPORT_AGE);
            return new EngineOrders.EngineReport(
                    orders, isLoading(seen), orders > 0 && !seen.isBefore(endsAt) ? 2 : 1);
        }
    }

    private static Duration max(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }

    private final class Orders implements EngineOrders {

        private final Duration finishing;

        private Orders(Duration finishing) {
            this.finishing = finishing;
        }

        @Override
        public CompletionStage<Answer> order(
                WeightOrder order, String holder, long fencingNumber, long expectedOrders) {
            LoadingEngine engine = engines.get(order.engine().id());
            if (engine.isLoading(time.instant()) || engine.orders != expectedOrders) {
                return CompletableFuture.completedFuture(Answer.CONFLICT);
            }
            engine.orders++;
            Instant left = departures.getOrDefault(order.engine().id(), Instant.MAX);
            longestUnused = max(longestUnused, Duration.between(left, time.instant()));
            engine.endsAt = time.instant().plus(STATED_LOAD_TIME).plus(finishing);
            return CompletableFuture.completedFuture(Answer.ACCEPTED);
        }

        @Override
        public CompletionStage<EngineReport> report(RegisteredTarget engine, String model) {
            return CompletableFuture.completedFuture(
                    engines.get(engine.id()).report(time.instant()));
        }
    }

    private static final class OnlyHolder implements LeaseTopic {

        private long end;
        private Holding newest;

        @Override
        public CompletionStage<Tail> read() {
            return CompletableFuture.completedFuture(new Tail(Optional.ofNullable(newest), end));
        }

        @Override
        public CompletionStage<OptionalLong> append(Holding holding, long at) {
            newest = holding;
            end++;
            return CompletableFuture.completedFuture(OptionalLong.of(end));
        }
    }

    private void start(int count, Duration finishing) {
        for (int index = 0; index < count; index++) {
            String id = "engine-" + index;
            engines.put(id, new LoadingEngine());
            beliefs.targets()
                    .register(
                            new RegisteredTarget(
                                    new TargetIncarnation(id, Instant.EPOCH),
                                    "engines",
                                    "10.0.0." + index + ":80",
                                    "a",
                                    128,
                                    false,
                                    Map.of(MODEL, 1)),
                            1);
        }
        beliefs.namedWeights().add(MODEL, 2);
        OrderLease lease =
                new OrderLease(
                        "daemon-1",
                        new OnlyHolder(),
                        Duration.ofSeconds(3),
                        time,
                        (kind, subject, inputs, outcome) -> {});
        new WeightRollout(
                        "daemon-1",
                        beliefs,
                        new Orders(finishing),
                        lease,
                        engine -> departure.onPausing(engine.id()),
                        time,
                        time,
                        (kind, subject, inputs, outcome) -> {})
                .start();
    }

    private void run(Duration duration) {
        Instant end = time.instant().plus(duration);
        while (time.instant().isBefore(end)) {
            time.advance(STEP);
            Instant now = time.instant();
            int loading = (int) engines.values().stream().filter(one -> one.isLoading(now)).count();
            mostLoading = Math.max(mostLoading, loading);
            int serving =
                    (int)
                            beliefs.targets().all().stream()
                                    .map(
                                            one ->
                                                    beliefs.targetStates()
                                                            .getOrCreate(one.incarnation()))
                                    .filter(state -> state.isAccepting(now))
                                    .count();
            leastServing = Math.min(leastServing, serving);
        }
    }

    /** Guards against loads that pile up, since each one beyond the bound slows the others. */
    @ParameterizedTest
    @ValueSource(ints = {0, 400, 1_000, 2_500})
    void anotherEngineLoadsOnlyAfterOneHasReportedItsEnd(int finishingMilliseconds) {
        start(8, Duration.ofMillis(finishingMilliseconds));
        run(Duration.ofSeconds(24));
        assertThat(engines.values()).allMatch(engine -> engine.orders == 1);
        assertThat(mostLoading).isEqualTo(RolloutPlanner.MAXIMUM_LOADS);
        assertThat(leastServing).isGreaterThanOrEqualTo(8 - 2 * RolloutPlanner.MAXIMUM_LOADS);
    }

    /** Guards against streams that are moved although they would have ended, or moved too late. */
    @Test
    void streamsLeaveAnEngineShortlyBeforeItsOrder() {
        start(2, Duration.ZERO);
        Instant preparedAt = time.instant();
        run(Duration.ofSeconds(2));
        assertThat(departures.values())
                .allMatch(left -> !left.isBefore(preparedAt.plus(StreamDeparture.TIME_TO_END)));
        assertThat(engines.values()).allMatch(engine -> engine.orders == 1);
        assertThat(longestUnused).isBetween(Duration.ZERO, Duration.ofMillis(200));
    }

    /** Guards against rollouts that leave requests on outdated weights for too long. */
    @Test
    void eightEnginesHaveTheNewWeightsWithinTwelveSeconds() {
        start(8, Duration.ofMillis(400));
        run(Duration.ofSeconds(12));
        assertThat(engines.values())
                .allMatch(engine -> engine.report(time.instant()).version() == 2);
    }
}
