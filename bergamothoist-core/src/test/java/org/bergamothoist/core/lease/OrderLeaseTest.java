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
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class OrderLeaseTest {

    private static final Duration LEASE = Duration.ofSeconds(3);

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final FakeTopic topic = new FakeTopic();
    private final FakeVersionDates dates = new FakeVersionDates();
    private final OrderLease first = lease("first");
    private final OrderLease second = lease("second");

    private OrderLease lease(String name) {
        return new OrderLease(
                name, topic, dates, LEASE, time, (kind, subject, inputs, outcome) -> {});
    }

    private static final class FakeVersionDates implements OrderLease.VersionDates {

        private final List<LeaseTopic.RequestedVersion> known = new ArrayList<>();
        private final List<LeaseTopic.RequestedVersion> read = new ArrayList<>();

        @Override
        public List<LeaseTopic.RequestedVersion> known() {
            return known;
        }

        @Override
        public void onRead(List<LeaseTopic.RequestedVersion> versions) {
            read.addAll(versions);
        }
    }

    /** Guards against times of requests that are lost when all daemons restart together. */
    @Test
    void logKeepsTheTimesOfRequestsForTheNextReader() {
        dates.known.add(new LeaseTopic.RequestedVersion("m", 2, time.instant()));
        run(first, 200);
        assertThat(dates.read).isEmpty();
        lease("restarted").acquireOrRenew();
        assertThat(dates.read).containsExactlyElementsOf(dates.known);
    }

    private final class FakeTopic implements LeaseTopic {

        private final List<Holding> records = new ArrayList<>();
        private boolean down;
        private boolean losesConfirmations;

        @Override
        public CompletionStage<Tail> read() {
            if (down) {
                return CompletableFuture.failedFuture(new IllegalStateException("down"));
            }
            Optional<Holding> newest =
                    records.isEmpty()
                            ? Optional.empty()
                            : Optional.of(records.get(records.size() - 1));
            return CompletableFuture.completedFuture(new Tail(newest, records.size()));
        }

        @Override
        public CompletionStage<OptionalLong> append(Holding holding, long end) {
            if (down) {
                return CompletableFuture.failedFuture(new IllegalStateException("down"));
            }
            if (end != records.size()) {
                return CompletableFuture.completedFuture(OptionalLong.empty());
            }
            records.add(holding);
            return losesConfirmations
                    ? CompletableFuture.failedFuture(new IllegalStateException("lost"))
                    : CompletableFuture.completedFuture(OptionalLong.of(end + 1));
        }
    }

    private void run(OrderLease lease, long milliseconds) {
        for (long passed = 0; passed < milliseconds; passed += 100) {
            lease.acquireOrRenew();
            time.advanceMillis(100);
        }
    }

    @Test
    void isHeldAfterFirstAppend() {
        run(first, 200);
        assertThat(first.usableFencingNumber()).hasValue(1);
    }

    /** Guards against an order that is sent after the window because its connection opens late. */
    @Test
    void remainingTimeEndsWithTheOrderWindow() {
        run(first, 200);
        assertThat(first.usableFor()).isBetween(Duration.ofMillis(1), OrderLease.ORDER_WINDOW);
        time.advance(OrderLease.ORDER_WINDOW);
        assertThat(first.usableFor()).isZero();
        assertThat(second.usableFor()).isZero();
    }

    @Test
    void renewsWithSameFencingNumber() {
        run(first, 5_000);
        assertThat(first.usableFencingNumber()).hasValue(1);
        assertThat(topic.records).hasSizeGreaterThan(5);
    }

    @Test
    void isNotUsableAfterStoreIsUnreachableForOrderWindow() {
        run(first, 300);
        topic.down = true;
        run(first, OrderLease.ORDER_WINDOW.toMillis() + 100);
        assertThat(first.usableFencingNumber()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 500, 2_000})
    void separatesOrdersOfTwoHoldersByLeaseDuration(long pause) {
        run(first, 1_000);
        Instant lastUsableAt = time.instant();
        while (first.usableFencingNumber().isPresent()) {
            lastUsableAt = time.instant();
            time.advanceMillis(50);
        }
        time.advanceMillis(pause);
        while (second.usableFencingNumber().isEmpty()) {
            second.acquireOrRenew();
            time.advanceMillis(50);
        }
        assertThat(Duration.between(lastUsableAt, time.instant())).isGreaterThan(LEASE);
        assertThat(second.usableFencingNumber().getAsLong()).isGreaterThan(1);
    }

    @Test
    void formerHolderGivesUpAfterTakeover() {
        run(first, 300);
        run(second, 6_000);
        assertThat(second.usableFencingNumber()).isPresent();
        run(first, 300);
        assertThat(first.isHolder()).isFalse();
        assertThat(first.usableFencingNumber()).isEmpty();
    }

    @Test
    void isNotUsableBeforeAppendIsConfirmed() {
        topic.losesConfirmations = true;
        first.acquireOrRenew();
        first.acquireOrRenew();
        assertThat(first.usableFencingNumber()).isEmpty();
        topic.losesConfirmations = false;
        run(first, 300);
        assertThat(first.usableFencingNumber()).hasValue(2);
    }

    @Test
    void restartedHolderGetsNewFencingNumber() {
        run(first, 300);
        OrderLease restarted = lease("first");
        run(restarted, 300);
        assertThat(restarted.usableFencingNumber().getAsLong()).isGreaterThan(1);
    }

    @Test
    void givesUpWhenTargetHasSeenHigherFencingNumber() {
        run(first, 300);
        first.onFenced();
        assertThat(first.usableFencingNumber()).isEmpty();
        assertThat(first.isHolder()).isFalse();
    }

    /**
     * Guards against a daemon that starts to follow the log only once the holder is lost, so that
     * the engines get no orders for twice the time.
     */
    @Test
    void watchingDaemonTakesOverWithinTheLeaseAndASecondOfTheLastRenewal() {
        for (int step = 0; step < 50; step++) {
            first.acquireOrRenew();
            second.watch();
            time.advanceMillis(100);
        }
        first.acquireOrRenew();
        Instant lostAt = time.instant();
        while (second.usableFencingNumber().isEmpty()) {
            second.acquireOrRenew();
            time.advanceMillis(50);
        }
        assertThat(Duration.between(lostAt, time.instant()))
                .isLessThanOrEqualTo(LEASE.plusSeconds(1).plusMillis(50));
    }

    @Test
    void watchingDoesNotAcquireTheLease() {
        for (int step = 0; step < 100; step++) {
            second.watch();
            time.advanceMillis(100);
        }
        assertThat(second.isHolder()).isFalse();
        assertThat(topic.records).isEmpty();
    }
}
