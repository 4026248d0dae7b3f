package org.bergamothoist.core.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MonotonicClockTest {

    private static final Instant START = Instant.EPOCH.plusSeconds(1_000);

    private Instant wall = START;
    private long elapsed;

    /** Guards against ages that are too small after the system clock was set. */
    @ParameterizedTest
    @CsvSource({"-3600, 1", "-1, 1", "0, 1", "1, 1", "3600, 3601"})
    void advancesAtLeastByTheElapsedTime(long wallStepSeconds, long expectedSeconds) {
        MonotonicClock clock = new MonotonicClock(() -> wall, () -> elapsed);
        assertThat(clock.instant()).isEqualTo(START);
        elapsed += Duration.ofSeconds(1).toNanos();
        wall = wall.plusSeconds(1 + wallStepSeconds);
        assertThat(clock.instant()).isEqualTo(START.plusSeconds(expectedSeconds));
    }
}
