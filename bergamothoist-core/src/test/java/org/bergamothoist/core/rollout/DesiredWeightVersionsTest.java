package org.bergamothoist.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.api.Test;

class DesiredWeightVersionsTest {

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final DesiredWeightVersions versions = new DesiredWeightVersions(time);

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
    void treatsVersionsReceivedAtStartupAsOlder() {
        versions.add("m", 3);
        assertThat(versions.outdatedSince("m", 2))
                .get()
                .matches(since -> Duration.between(since, time.instant()).toSeconds() >= 8);
    }
}
