package org.bergamothoist.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TargetHealthTest {

    private static final Instant NOW = Instant.ofEpochSecond(1_000);

    private final TargetHealth health = new TargetHealth();

    @ParameterizedTest
    @CsvSource({"1,true", "2,false", "3,false"})
    void consecutiveFailuresEjectATarget(int failures, boolean usable) {
        for (int index = 0; index < failures; index++) {
            health.onFailure(NOW);
        }
        assertThat(health.isUsable(NOW)).isEqualTo(usable);
    }

    @Test
    void unreachableTargetIsEjectedAtOnceAndRetriedLater() {
        health.onUnreachable(NOW);
        assertThat(health.isUsable(NOW)).isFalse();
        assertThat(health.isUsable(NOW.plusMillis(500))).isTrue();
    }

    @Test
    void ejectionTimeGrowsUpToAMaximum() {
        Instant at = NOW;
        for (int index = 0; index < 10; index++) {
            health.onUnreachable(at);
            at = at.plusSeconds(10);
        }
        health.onUnreachable(at);
        assertThat(health.isUsable(at.plusMillis(3_900))).isFalse();
        assertThat(health.isUsable(at.plusMillis(4_000))).isTrue();
    }

    @Test
    void successEndsAnEjection() {
        health.onUnreachable(NOW);
        health.onSuccess(NOW);
        assertThat(health.isUsable(NOW)).isTrue();
    }

    @Test
    void errorResponsesCountAsFailuresButDoNotEject() {
        for (int index = 0; index < 20; index++) {
            health.onErrorResponse();
        }
        assertThat(health.isUsable(NOW)).isTrue();
        assertThat(health.failureRate()).isGreaterThan(0.5);
    }

    @ParameterizedTest
    @CsvSource({"0,true", "10,false"})
    void timeoutCountsOnlyIfNoOtherRequestSucceeded(long successSecondsEarlier, boolean usable) {
        health.onSuccess(NOW.plusSeconds(5 - successSecondsEarlier));
        health.onResponseTimeout(NOW, NOW.plusSeconds(6));
        health.onResponseTimeout(NOW, NOW.plusSeconds(6));
        assertThat(health.isUsable(NOW.plusSeconds(6))).isEqualTo(usable);
    }
}
