package org.bergamothoist.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.feed.OutdatedAnswerException;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the lease on a store that comes back from older copies and announces its era. */
class OrderLeaseFallbackTest {

    private static final Duration LEASE = Duration.ofSeconds(3);
    private static final long STEP_MILLISECONDS = 50;

    /** Longer than a daemon waits for the holder that it has seen last. */
    private static final long TAKEOVER_MILLISECONDS = 4_500;

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final List<String> logLines = new ArrayList<>();
    private final List<Order> orders = new ArrayList<>();
    private List<LeaseTopic.Holding> records = new ArrayList<>();
    private long era = 1;
    private int reads;

    private record Order(String holder, long number, Instant sentAt) {}

    /** A daemon that wants the lease and sends an order whenever it may. */
    private final class Daemon implements LeaseTopic {

        private final String name;
        private final OrderLease lease;
        private final List<Runnable> delayedCalls = new ArrayList<>();
        private boolean delaysCalls;
        private long knownEra;

        private Daemon(String name) {
            this.name = name;
            this.lease = new OrderLease(name, this, NO_DATES, LEASE, time, this::log);
        }

        private void log(
                DecisionKind kind, String subject, Supplier<String> inputs, String outcome) {
            logLines.add(name + ": " + outcome + " (" + inputs.get() + ")");
        }

        @Override
        public CompletionStage<Tail> read() {
            reads++;
            return call(true, () -> new Tail(newest(), records.size(), era));
        }

        @Override
        public CompletionStage<OptionalLong> append(Holding holding, long end) {
            return call(
                    false,
                    () -> {
                        if (end != records.size()) {
                            return OptionalLong.empty();
                        }
                        records.add(holding);
                        return OptionalLong.of(end + 1);
                    });
        }

        private <T> CompletionStage<T> call(boolean isFirstOfEra, Supplier<T> execution) {
            CompletableFuture<T> answer = new CompletableFuture<>();
            long sentInEra = knownEra;
            Runnable call =
                    () -> {
                        T result = execution.get();
                        learnEra();
                        if (isFirstOfEra || sentInEra == knownEra) {
                            answer.complete(result);
                        } else {
                            answer.completeExceptionally(new OutdatedAnswerException("era"));
                        }
                    };
            if (delaysCalls) {
                delayedCalls.add(call);
            } else {
                call.run();
            }
            return answer;
        }

        private void learnEra() {
            boolean fellBack = knownEra > 0 && era > knownEra;
            knownEra = era;
            if (fellBack) {
                lease.onStoreFallback();
            }
        }

        private void deliverDelayedCalls() {
            delaysCalls = false;
            delayedCalls.forEach(Runnable::run);
        }

        private void sendOrder() {
            lease.usableFencingNumber()
                    .ifPresent(number -> orders.add(new Order(name, number, time.instant())));
        }
    }

    private static final OrderLease.VersionDates NO_DATES =
            new OrderLease.VersionDates() {
                @Override
                public List<LeaseTopic.RequestedVersion> known() {
                    return List.of();
                }

                @Override
                public void onRead(List<LeaseTopic.RequestedVersion> versions) {}
            };

    private Optional<LeaseTopic.Holding> newest() {
        return records.isEmpty() ? Optional.empty() : Optional.of(records.get(records.size() - 1));
    }

    private void run(long milliseconds, Daemon... daemons) {
        for (long passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
            for (Daemon daemon : daemons) {
                daemon.lease.observe();
                daemon.lease.acquireOrRenew();
                daemon.sendOrder();
            }
            time.advanceMillis(STEP_MILLISECONDS);
        }
    }

    private void runUntil(BooleanSupplier condition, Daemon daemon) {
        for (int step = 0; !condition.getAsBoolean(); step++) {
            assertThat(step * STEP_MILLISECONDS).isLessThan(TAKEOVER_MILLISECONDS);
            run(STEP_MILLISECONDS, daemon);
        }
    }

    private Daemon startHolder(String name) {
        Daemon holder = new Daemon(name);
        run(TAKEOVER_MILLISECONDS, holder);
        assertThat(lastOrder().holder()).isEqualTo(name);
        return holder;
    }

    private Order lastOrder() {
        return orders.get(orders.size() - 1);
    }

    private List<LeaseTopic.Holding> copy() {
        return List.copyOf(records);
    }

    private void fallBackTo(List<LeaseTopic.Holding> copy) {
        records = new ArrayList<>(copy);
        era++;
    }

    /** Guards against ONE in every test: a number of two daemons, a lower one, turns too close. */
    @AfterEach
    void ordersOfTwoHoldersAreApartAndNumbersRise() {
        for (int index = 1; index < orders.size(); index++) {
            Order before = orders.get(index - 1);
            Order order = orders.get(index);
            if (order.holder().equals(before.holder())) {
                assertThat(order.number()).isGreaterThanOrEqualTo(before.number());
                continue;
            }
            assertThat(order.number()).as("%s", logLines).isGreaterThan(before.number());
            assertThat(Duration.between(before.sentAt(), order.sentAt()))
                    .as("%s", logLines)
                    .isGreaterThanOrEqualTo(LEASE);
        }
    }

    /** Guards against one number for two daemons that transfer the lease at the same offset. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void transfersAtTheSameOffsetHaveDifferentNumbers(int falls) {
        List<LeaseTopic.Holding> copy = copy();
        startHolder("holder-0");
        for (int fall = 1; fall <= falls; fall++) {
            fallBackTo(copy);
            startHolder("holder-" + fall);
        }
        assertThat(orders.stream().map(Order::number).distinct()).hasSize(falls + 1);
    }

    /** Guards against orders that a holder sends after it has learned of the new era. */
    @Test
    void holderStopsWhenTheStoreHasFallenBack() {
        Daemon holder = startHolder("holder");
        assertThat(holder.lease.usableFor()).isPositive();
        holder.lease.onStoreFallback();
        assertThat(holder.lease.usableFencingNumber()).isEmpty();
        assertThat(holder.lease.usableFor()).isZero();
        assertThat(logLines)
                .last()
                .asString()
                .contains("lost", "fencing=" + lastOrder().number(), "era=1", "end=");
    }

    /** Guards against a takeover based on an append of an earlier era that is carried out late. */
    @Test
    void lateAppendOfAnEarlierEraTransfersNoLease() {
        Daemon late = new Daemon("late");
        late.lease.watch();
        List<LeaseTopic.Holding> copy = copy();
        Daemon holder = startHolder("holder");
        late.delaysCalls = true;
        late.lease.acquireOrRenew();
        run(STEP_MILLISECONDS, holder);
        fallBackTo(copy);
        late.deliverDelayedCalls();
        assertThat(newest()).map(LeaseTopic.Holding::holder).hasValue("late");
        run(TAKEOVER_MILLISECONDS, late);
        assertThat(lastOrder().holder()).isEqualTo("late");
    }

    /** Guards against a takeover based on an own record that came back with the copy. */
    @Test
    void ownRecordInTheCopyTransfersNoLease() {
        startHolder("first");
        List<LeaseTopic.Holding> copy = copy();
        startHolder("second");
        fallBackTo(copy);
        startHolder("first");
    }

    /** Guards against lower numbers and an early takeover on a store that announces no era. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void fallbackWithoutAnnouncementIsWaitedForAndCounted(boolean emptyCopy) {
        era = 0;
        Daemon first = startHolder("first");
        List<LeaseTopic.Holding> copy = emptyCopy ? List.of() : copy();
        startHolder("second");
        run(STEP_MILLISECONDS, first);
        first.lease.watch();
        fallBackTo(copy);
        era = 0;
        first.lease.onStoreFallback();
        run(TAKEOVER_MILLISECONDS, first);
        assertThat(lastOrder().holder()).isEqualTo("first");
    }

    /** Guards against a tail of an era whose begin was not reported as a fallback. */
    @Test
    void tailOfAnotherEraEndsTheLease() {
        era = 0;
        Daemon holder = startHolder("holder");
        era = 1;
        holder.lease.watch();
        assertThat(holder.lease.usableFencingNumber()).isEmpty();
    }

    /** Guards against taking the lease at once because the copy has none of its records. */
    @Test
    void emptyLogOfAnAnnouncedEraIsNotTakenAtOnce() {
        List<LeaseTopic.Holding> copy = copy();
        startHolder("first");
        Instant fellBackAt = time.instant();
        fallBackTo(copy);
        Daemon second = new Daemon("second");
        runUntil(() -> second.lease.usableFencingNumber().isPresent(), second);
        assertThat(Duration.between(fellBackAt, time.instant()))
                .isBetween(LEASE, LEASE.plusSeconds(1));
    }

    /** Guards against a pause in orders after each return of the store. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void holderAcquiresTheLeaseAgainAtOnceWithAnotherNumber(int falls) {
        List<LeaseTopic.Holding> copy = copy();
        Daemon rival = new Daemon("rival");
        Daemon holder = startHolder("holder");
        long numberBefore = lastOrder().number();
        for (int fall = 0; fall < falls; fall++) {
            fallBackTo(copy);
            run(2 * STEP_MILLISECONDS, rival);
        }
        run(500, rival, holder);
        assertThat(holder.lease.usableFencingNumber().getAsLong()).isGreaterThan(numberBefore);
        run(TAKEOVER_MILLISECONDS, rival);
        assertThat(lastOrder().holder()).isEqualTo("rival");
    }

    /**
     * Guards against a pause in orders because another daemon's append of an earlier era has been
     * carried out after the holder's.
     */
    @Test
    void holderAcquiresTheLeaseAgainAfterALateAppendOfAnother() {
        Daemon holder = new Daemon("holder");
        runUntil(() -> records.size() == 2, holder);
        Daemon late = new Daemon("late");
        late.lease.watch();
        List<LeaseTopic.Holding> copy = copy().subList(0, 1);
        run(TAKEOVER_MILLISECONDS, holder);
        late.delaysCalls = true;
        late.lease.acquireOrRenew();
        fallBackTo(copy);
        runUntil(() -> records.size() == 2, holder);
        late.deliverDelayedCalls();
        assertThat(newest()).map(LeaseTopic.Holding::holder).hasValue("late");
        Instant replacedAt = time.instant();
        run(1_000, holder);
        assertThat(lastOrder().sentAt()).isAfter(replacedAt.plus(OrderLease.ORDER_WINDOW));
        run(TAKEOVER_MILLISECONDS, late);
        assertThat(lastOrder().holder()).isEqualTo("late");
    }

    /** Guards against a frozen holder that goes on under its number after two falls. */
    @Test
    void frozenHolderThatWakesAfterTwoFallsSendsNoOrdersUnderItsNumber() {
        Daemon frozen = startHolder("frozen");
        List<LeaseTopic.Holding> copy = copy();
        long numberBefore = lastOrder().number();
        fallBackTo(copy);
        startHolder("second");
        fallBackTo(copy);
        frozen.sendOrder();
        run(500, frozen);
        assertThat(lastOrder().holder()).isEqualTo("second");
        run(TAKEOVER_MILLISECONDS, frozen);
        assertThat(lastOrder().holder()).isEqualTo("frozen");
        assertThat(lastOrder().number()).isGreaterThan(numberBefore);
    }

    /** A topic whose calls are answered by the test, also across a fallback. */
    private static final class UnguardedTopic implements LeaseTopic {

        private final List<CompletableFuture<Tail>> reads = new ArrayList<>();
        private final List<CompletableFuture<OptionalLong>> appends = new ArrayList<>();

        @Override
        public CompletionStage<Tail> read() {
            reads.add(new CompletableFuture<>());
            return reads.get(reads.size() - 1);
        }

        @Override
        public CompletionStage<OptionalLong> append(Holding holding, long end) {
            appends.add(new CompletableFuture<>());
            return appends.get(appends.size() - 1);
        }
    }

    /** Guards against results of calls that began before the store fell back. */
    @Test
    void resultsOfCallsThatBeganBeforeTheFallbackAreIgnored() {
        UnguardedTopic topic = new UnguardedTopic();
        OrderLease lease =
                new OrderLease(
                        "self",
                        topic,
                        NO_DATES,
                        LEASE,
                        time,
                        (kind, subject, inputs, outcome) -> {});
        lease.acquireOrRenew();
        lease.onStoreFallback();
        LeaseTopic.Holding own = new LeaseTopic.Holding("self", (1L << 32) + 1, List.of());
        topic.reads.get(0).complete(new LeaseTopic.Tail(Optional.of(own), 1, 1));
        lease.acquireOrRenew();
        assertThat(topic.appends).isEmpty();
        topic.reads.get(1).complete(new LeaseTopic.Tail(Optional.empty(), 0, 2));
        time.advanceMillis(TAKEOVER_MILLISECONDS);
        lease.acquireOrRenew();
        lease.onStoreFallback();
        topic.appends.get(0).complete(OptionalLong.of(1));
        assertThat(lease.usableFencingNumber()).isEmpty();
        assertThat(lease.isHolder()).isFalse();
    }

    /** Guards against reads that nobody needs, and against a wait that begins with the orders. */
    @Test
    void logIsReadOnceAtTheStartAndOnceAfterTheStoreHasFallenBack() {
        Daemon daemon = new Daemon("daemon");
        for (int falls = 0; falls < 2; falls++) {
            for (int step = 0; step < 100; step++) {
                daemon.lease.observe();
                time.advanceMillis(STEP_MILLISECONDS);
            }
            assertThat(reads).isEqualTo(falls + 1);
            fallBackTo(copy());
            daemon.learnEra();
        }
        run(TAKEOVER_MILLISECONDS, daemon);
        assertThat(lastOrder().number()).isGreaterThan(2L << 32);
    }
}
