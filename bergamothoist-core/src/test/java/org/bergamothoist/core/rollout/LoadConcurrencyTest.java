package org.bergamothoist.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how many engines load at once, and what is learned of their load times. */
class LoadConcurrencyTest {

    private static final Duration LOAD_TIME = Duration.ofSeconds(2);

    private final LoadTimeEstimator loadTimes = new LoadTimeEstimator();
    private final LoadConcurrency concurrency =
            new LoadConcurrency(RolloutSettings.DEFAULT, loadTimes);

    private int maximumLoads(int engines, int outdated, Duration timeLeft, boolean busy) {
        return concurrency.maximumLoads(
                new LoadConcurrency.Situation(engines, outdated, LOAD_TIME, timeLeft, busy));
    }

    private void addLoads(int count, int concurrentLoads, long milliseconds) {
        for (int index = 0; index < count; index++) {
            loadTimes.add(Duration.ofMillis(milliseconds), concurrentLoads);
        }
    }

    @ParameterizedTest
    @CsvSource({"3,2", "6,2", "8,2", "13,3", "40,10", "59,14"})
    void growsWithTheNumberOfEngines(int engines, int expected) {
        assertThat(maximumLoads(engines, engines, Duration.ofMinutes(1), false))
                .isEqualTo(expected);
    }

    /** Guards against missing the time limit for outdated weights on account of load. */
    @ParameterizedTest
    @CsvSource({"60000,7", "20000,8", "14000,12", "1000,14"})
    void busyEnginesLoadInSmallerGroupsWhileTimeAllows(long millisecondsLeft, int expected) {
        assertThat(maximumLoads(59, 59, Duration.ofMillis(millisecondsLeft), true))
                .isEqualTo(expected);
    }

    /** Guards against loads at once that only slow each other down. */
    @Test
    void staysBelowTheNumberFromWhichLoadsAreSlower() {
        addLoads(6, 4, 2_000);
        addLoads(6, 12, 5_000);
        assertThat(loadTimes.fastConcurrency(14)).isEqualTo(4);
        assertThat(maximumLoads(59, 10, Duration.ofMinutes(1), false)).isEqualTo(4);
    }

    /** Guards against estimates that one late report changes. */
    @Test
    void oneSlowLoadChangesNothing() {
        addLoads(6, 2, 300);
        addLoads(3, 3, 300);
        loadTimes.add(Duration.ofSeconds(20), 3);
        assertThat(loadTimes.loadTime()).contains(Duration.ofMillis(300));
        assertThat(loadTimes.fastConcurrency(3)).isEqualTo(3);
    }

    @ParameterizedTest
    @ValueSource(longs = {290, 1_900, 6_000})
    void pollsFollowTheLearnedLoadTime(long milliseconds) {
        addLoads(5, 1, milliseconds);
        assertThat(loadTimes.firstPollDelay())
                .isBetween(Duration.ofMillis(milliseconds / 2), Duration.ofMillis(milliseconds));
    }

    /**
     * Guards against engines that stay out of use after their load has ended, because an earlier
     * load took long on a busy engine and the next poll waits as long.
     */
    @Test
    void endOfShortLoadIsNoticedSoonAfterLongOnes() {
        addLoads(2, 2, 6_500);
        Duration loadTime = Duration.ofMillis(2_200);
        Duration observed = Duration.ZERO;
        for (int load = 0; load < 4; load++) {
            observed = loadTimes.firstPollDelay();
            while (observed.compareTo(loadTime) < 0) {
                observed = observed.plus(loadTimes.pollInterval(observed));
            }
            loadTimes.add(observed, 2);
        }
        assertThat(observed).isLessThan(Duration.ofMillis(2_700));
    }

    /** Guards against estimates that can only grow, because no poll ever comes sooner. */
    @Test
    void estimateFallsWhenLoadsBecomeShorter() {
        addLoads(32, 1, 2_000);
        for (int load = 0; load < 200; load++) {
            loadTimes.add(loadTimes.firstPollDelay(), 1);
        }
        assertThat(loadTimes.loadTime().orElseThrow()).isLessThan(Duration.ofMillis(1_200));
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, -1, 1.1, Double.NaN})
    void rejectsSharesOutOfRange(double share) {
        assertThatThrownBy(() -> new RolloutSettings(share, 0.5, Duration.ofSeconds(1)))
                .hasMessageContaining("maximumShareLoading");
    }
}
