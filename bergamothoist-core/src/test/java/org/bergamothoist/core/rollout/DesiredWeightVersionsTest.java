package org.bergamothoist.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.bergamothoist.core.feed.FeedFreshness;
import org.bergamothoist.core.time.PauseDetector;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DesiredWeightVersionsTest {

    private static final Duration ASSUMED_AGE = Duration.ofSeconds(8);

    private static final Duration RUN_INTERVAL = Duration.ofMillis(100);

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final DesiredWeightVersions versions = new DesiredWeightVersions(time, ASSUMED_AGE);

    @Test
    void versionIsOutdatedSinceFirstNewerVersion() {
        time.advanceMillis(10_000);
        versions.add("m", 2);
        Instant second = time.instant();
        time.advanceMillis(3_000);
        versions.add("m", 4);
        assertThat(versions.outdatedSince("m", 1)).contains(second);
        assertThat(versions.outdatedSince("m", 2)).contains(time.instant());
        assertThat(versions.outdatedSince("m", 4)).isEmpty();
    }

    @Test
    void doesNotAddOlderVersion() {
        assertThat(versions.add("m", 3)).isTrue();
        assertThat(versions.add("m", 2)).isFalse();
        assertThat(versions.newestVersions()).containsEntry("m", 3);
    }

    @Test
    void assumesAnAgeOfVersionsRequestedAtAnUnknownTime() {
        versions.add("m", 3, Optional.empty());
        assertThat(versions.outdatedSince("m", 2))
                .get()
                .matches(since -> Duration.between(since, time.instant()).toSeconds() >= 8);
    }

    private void recordRuns(PauseDetector pauses) {
        pauses.recordRun();
        time.schedule(RUN_INTERVAL, () -> recordRuns(pauses));
    }

    /**
     * Guards against requests that start on old weights too late, because the daemon was cut from
     * the store when the new version was requested.
     */
    @ParameterizedTest
    @CsvSource({"1000,0", "1900,0", "2100,2100", "9000,9000"})
    void versionReadAfterAnInterruptionCountsFromTheLastRead(long gap, long age) {
        time.advanceMillis(20_000);
        PauseDetector pauses = new PauseDetector(RUN_INTERVAL, time, pause -> {});
        recordRuns(pauses);
        FeedFreshness freshness = new FeedFreshness(Duration.ofMillis(2_000), pauses, time);
        time.advanceMillis(500);
        freshness.recordComplete(time.instant());
        time.advanceMillis(gap);
        versions.add("m", 2, freshness.earliestPublication());
        assertThat(versions.outdatedSince("m", 1)).contains(time.instant().minusMillis(age));
    }

    /**
     * Guards against a version that becomes younger than assumed because the clock of the daemon
     * that wrote its time was ahead, and against one that stays younger than it is.
     */
    @ParameterizedTest
    @CsvSource({"-12000,12000", "-9000,9000", "-2000,8000", "4000,8000"})
    void timeByOtherClockOnlyMakesVersionsOlder(long requestedAfter, long age) {
        Instant written = time.instant().plusMillis(requestedAfter);
        versions.add("m", 3, Optional.empty());
        assertThat(versions.refineByOtherClock("m", 2, written)).isTrue();
        assertThat(versions.refineByOtherClock("m", 3, written)).isTrue();
        Instant expected = time.instant().minusMillis(age);
        assertThat(versions.outdatedSince("m", 1)).contains(expected);
        assertThat(versions.outdatedSince("m", 2)).contains(expected);
        assertThat(versions.refineByOtherClock("m", 3, Instant.EPOCH)).isFalse();
        assertThat(versions.refineByOtherClock("m", 4, written)).isFalse();
        assertThat(versions.refineByOtherClock("other", 1, written)).isFalse();
    }
}
