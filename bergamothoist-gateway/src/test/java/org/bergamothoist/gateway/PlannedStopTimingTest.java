package org.bergamothoist.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.caller.CallerServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests from when a planned stop counts its times, if the event loop is busy. */
class PlannedStopTimingTest {

    private static final double GRACE_SECONDS = 8;
    private static final Instant REQUESTED_AT = Instant.parse("2026-03-02T06:00:00Z");

    private final AtomicReference<Instant> now = new AtomicReference<>(REQUESTED_AT);
    private final List<Duration> delays = new ArrayList<>();
    private final PlannedStop stop =
            new PlannedStop(
                    new DaemonId("daemon-1", 1),
                    GRACE_SECONDS,
                    new CallerServer(null, null, null),
                    new RecordingScheduler(),
                    now::get,
                    (kind, subject, inputs, outcome) -> {});

    /** Records the delays of tasks, and runs none of them, as an event loop that is busy. */
    private final class RecordingScheduler implements Scheduler {

        @Override
        public Cancellable schedule(Duration delay, Runnable task) {
            delays.add(delay);
            return () -> {};
        }

        @Override
        public void execute(Runnable task) {
            delays.add(Duration.ZERO);
        }
    }

    private void advance(long milliseconds) {
        now.set(now.get().plusMillis(milliseconds));
    }

    /**
     * Guards against requests that are taken, and answers that are cut, later than the grace allows
     * because the stop counts from when its event loop handles the signal.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 1_200, 5_000})
    void timesCountFromWhenTheStopIsAskedFor(long lateMilliseconds) {
        stop.request();
        advance(lateMilliseconds);
        stop.begin(() -> {});
        assertThat(stop.endsAt()).contains(REQUESTED_AT.plusMillis(7_600));
        assertThat(delays)
                .containsExactly(Duration.ofMillis(Math.max(0, 3_000 - lateMilliseconds)));
    }

    /** Guards against requests that are taken after their time, because a timer is late. */
    @Test
    void requestsAreRefusedAtTheirTimeAlsoIfTheTimerIsLate() {
        assertThat(stop.isRefusing()).isFalse();
        stop.request();
        advance(2_999);
        assertThat(stop.isRefusing()).isFalse();
        advance(1);
        assertThat(stop.isRefusing()).isTrue();
    }

    /** Guards against a second request to stop that puts off the end beyond the kill. */
    @Test
    void secondRequestDoesNotPutOffTheEnd() {
        stop.request();
        advance(1_000);
        stop.request();
        assertThat(stop.endsAt()).contains(REQUESTED_AT.plusMillis(7_600));
    }
}
