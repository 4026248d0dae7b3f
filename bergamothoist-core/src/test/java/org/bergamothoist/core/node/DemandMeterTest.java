package org.bergamothoist.core.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class DemandMeterTest {

    private Instant now = Instant.EPOCH;
    private final DemandMeter<String> meter = new DemandMeter<>(() -> now);

    /** Guards against demand that drops to 0 after a single second without a request. */
    @Test
    void sustainedDemandOutlastsOneEmptySecond() {
        meter.add("clinic", 4);
        advance(1);
        assertThat(meter.sustainedPerSecond()).containsEntry("clinic", 4L);
        advance(1);
        assertThat(meter.perSecond()).isEmpty();
        assertThat(meter.sustainedPerSecond()).containsEntry("clinic", 1L);
    }

    /** Guards against demand that is reported forever after the requests have stopped. */
    @Test
    void demandEndsAfterTheAveragedIntervals() {
        meter.add("clinic", 4);
        advance(6);
        assertThat(meter.sustainedPerSecond()).isEmpty();
        meter.add("clinic", 2);
        advance(60);
        assertThat(meter.sustainedPerSecond()).isEmpty();
        meter.add("clinic", 3);
        advance(1);
        assertThat(meter.sustainedPerSecond()).containsEntry("clinic", 3L);
    }

    private void advance(int seconds) {
        now = now.plus(Duration.ofSeconds(seconds));
    }
}
