package org.bergamothoist.core.invariant;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.codahale.metrics.MetricRegistry;
import java.time.Instant;
import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.timeline.BoundedTimeline;
import org.bergamothoist.core.timeline.Event;
import org.bergamothoist.core.timeline.EventKind;
import org.bergamothoist.core.timeline.Timestamp;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CountingInvariantMonitorTest {

    private final BoundedTimeline timeline =
            new BoundedTimeline(new DaemonId("a", 1), () -> Instant.EPOCH);

    /** Guards against unreported violations, and against exceptions where they are not fatal. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void violationIsCountedRecordedAndThrownOnlyIfFatal(boolean fatal) {
        CountingInvariantMonitor monitor =
                new CountingInvariantMonitor(new MetricRegistry(), timeline, fatal);
        if (fatal) {
            assertThatThrownBy(() -> violate(monitor))
                    .isInstanceOfSatisfying(
                            BergamothoistException.class,
                            thrown ->
                                    assertThat(thrown.code())
                                            .isEqualTo(ErrorCode.INVARIANT_VIOLATED));
        } else {
            violate(monitor);
        }
        assertThat(monitor.violations())
                .containsEntry(Guarantee.LEAVING_TARGET, 1L)
                .containsEntry(Guarantee.AT_MOST_ONCE, 0L);
        assertThat(timeline.eventsAfter(new Timestamp(0, 0)))
                .extracting(Event::kind)
                .containsExactly(EventKind.INVARIANT_VIOLATED);
    }

    /** Guards against building the detail text for conditions that hold. */
    @Test
    void detailIsNotEvaluatedIfTheConditionHolds() {
        CountingInvariantMonitor monitor =
                new CountingInvariantMonitor(new MetricRegistry(), timeline, true);
        monitor.check(
                Guarantee.STREAM_ORDER,
                true,
                () -> {
                    throw new AssertionError("evaluated");
                });
        assertThat(monitor.violations()).containsEntry(Guarantee.STREAM_ORDER, 0L);
    }

    private static void violate(InvariantMonitor monitor) {
        monitor.check(Guarantee.LEAVING_TARGET, false, () -> "sent to lamp-3");
    }
}
