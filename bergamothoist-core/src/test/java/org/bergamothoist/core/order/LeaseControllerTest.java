package org.bergamothoist.core.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.bergamothoist.core.timeline.BoundedTimeline;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LeaseControllerTest {

    private static final Duration SECOND = Duration.ofSeconds(1);

    private final VirtualTimeScheduler time =
            new VirtualTimeScheduler(Instant.EPOCH.plusSeconds(10_000));
    private final InMemoryLeaseLog log = new InMemoryLeaseLog(time);
    private final LeaseController first = controller("entry-1");
    private final LeaseController second = controller("entry-2");

    private LeaseController controller(String name) {
        DaemonId daemon = new DaemonId(name, 1);
        return new LeaseController("orders", daemon, log, time, new BoundedTimeline(daemon, time));
    }

    private void run(int seconds, LeaseController... controllers) {
        for (int second = 0; second < seconds; second++) {
            for (LeaseController controller : controllers) {
                controller.tick();
            }
            assertThat(holders()).hasSizeLessThanOrEqualTo(1);
            log.advance(SECOND);
        }
    }

    private List<LeaseController> holders() {
        return List.of(first, second).stream()
                .filter(controller -> controller.usableFencingNumber().isPresent())
                .toList();
    }

    /** Guards against two daemons sending orders at the same time, for any pause of the holder. */
    @ParameterizedTest
    @ValueSource(ints = {1, 10, 14, 15, 16, 30, 100})
    void pausedHolderNeverOverlapsItsSuccessor(int pausedSeconds) {
        run(20, first, second);
        assertThat(holders()).containsExactly(first);
        long oldNumber = first.usableFencingNumber().orElseThrow();
        run(pausedSeconds, second);
        run(60, first, second);
        assertThat(holders()).hasSize(1);
        assertThat(holders().get(0).usableFencingNumber().orElseThrow())
                .isGreaterThanOrEqualTo(oldNumber);
    }

    /** Guards against orders under a lease that can no longer be renewed. */
    @Test
    void holderStopsBeforeExpiryWhenLogIsDown() {
        run(5, first);
        log.available = false;
        run(14, first, second);
        assertThat(first.usableFencingNumber()).isEmpty();
        log.available = true;
        run(20, first, second);
        assertThat(holders()).hasSize(1);
    }

    /** Guards against using a lease whose grant was not confirmed. */
    @Test
    void doesNotUseLeaseWithoutConfirmation() {
        log.loseConfirmations = true;
        run(3, first);
        assertThat(first.usableFencingNumber()).isEmpty();
        log.loseConfirmations = false;
        run(5, first);
        assertThat(first.usableFencingNumber()).isPresent();
    }

    /**
     * Guards against using a lease from before its grant if the append was delayed beyond its end.
     */
    @Test
    void measuresDelayedGrantFromBeforeItsAppend() {
        log.delayAppends = true;
        first.tick();
        log.advance(Duration.ofSeconds(20));
        log.performDelayedAppends();
        assertThat(first.usableFencingNumber()).isEqualTo(Optional.empty());
    }

    /** Guards against overlapping with orders of the previous holder that are still in flight. */
    @Test
    void newHolderWaitsForOrdersInFlight() {
        first.tick();
        assertThat(first.usableFencingNumber()).isEmpty();
        log.advance(LeaseController.MAXIMUM_ORDER_FLIGHT_TIME);
        assertThat(first.usableFencingNumber()).isPresent();
    }
}
