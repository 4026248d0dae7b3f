package org.bergamothoist.core.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PauseDetectorTest {

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final List<Duration> reported = new ArrayList<>();
    private final PauseDetector pauses =
            new PauseDetector(Duration.ofMillis(500), time, reported::add);

    /** Guards against a pause that goes unnoticed before or after the first run that follows it. */
    @ParameterizedTest
    @CsvSource({"250,false", "500,false", "501,true", "4600,true"})
    void reportsIntervalsLongerThanThoseOfARunningThread(long milliseconds, boolean paused) {
        pauses.recordRun();
        Instant before = time.instant();
        time.advanceMillis(milliseconds);
        assertThat(pauses.hasPausedSince(before)).isEqualTo(paused);
        pauses.recordRun();
        assertThat(pauses.hasPausedSince(before)).isEqualTo(paused);
        assertThat(reported).hasSize(paused ? 1 : 0);
        assertThat(pauses.hasPausedSince(time.instant())).isFalse();
    }
}
