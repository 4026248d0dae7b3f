package org.bergamothoist.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TargetStateTableTest {

    private final TargetStateTable states = new TargetStateTable();

    private static TargetIncarnation incarnation(long startMilliseconds) {
        return new TargetIncarnation("engine-1", Instant.ofEpochMilli(startMilliseconds));
    }

    /**
     * Guards against an engine whose weight version is unknown after a late answer of its run
     * before a restart, so that requests are sent to it whatever its version.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 1_999})
    void lateResultOfAnOlderIncarnationKeepsTheStateOfTheNewest(long olderStart) {
        states.getOrCreate(incarnation(olderStart));
        states.getOrCreate(incarnation(2_000)).observeWeightVersion(3);
        states.getOrCreate(incarnation(olderStart)).observeWeightVersion(4);
        assertThat(states.find("engine-1").orElseThrow().weightVersion()).hasValue(3);
        assertThat(states.getOrCreate(incarnation(2_000)).weightVersion()).hasValue(3);
    }

    @Test
    void newIncarnationStartsWithoutTheStateOfTheOlderOne() {
        states.getOrCreate(incarnation(1)).observeWeightVersion(3);
        assertThat(states.getOrCreate(incarnation(2)).weightVersion()).isEmpty();
    }
}
