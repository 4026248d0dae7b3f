package org.bergamothoist.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.api.Test;

class NamedWeightsTest {

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final NamedWeights weights = new NamedWeights(time);

    @Test
    void versionIsOutdatedSinceTheFirstNewerOne() {
        time.advanceMillis(10_000);
        weights.name("m", 2);
        Instant second = time.instant();
        time.advanceMillis(3_000);
        weights.name("m", 4);
        assertThat(weights.outdatedSince("m", 1)).contains(second);
        assertThat(weights.outdatedSince("m", 2)).contains(time.instant());
        assertThat(weights.outdatedSince("m", 4)).isEmpty();
    }

    @Test
    void olderVersionIsNotTakenOver() {
        assertThat(weights.name("m", 3)).isTrue();
        assertThat(weights.name("m", 2)).isFalse();
        assertThat(weights.versions()).containsEntry("m", 3);
    }

    @Test
    void versionLearntAtTheStartWasNamedSomeTimeAgo() {
        weights.name("m", 3);
        assertThat(weights.outdatedSince("m", 2))
                .get()
                .matches(since -> Duration.between(since, time.instant()).toSeconds() >= 8);
    }
}
