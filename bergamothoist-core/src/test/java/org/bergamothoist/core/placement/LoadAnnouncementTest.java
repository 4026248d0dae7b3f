package org.bergamothoist.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.cache.ManualScheduler;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.peer.PeerMessage.Outstanding;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LoadAnnouncementTest {

    private static final TargetId ENGINE = new TargetId("engine-1");
    private static final LoadSettings SETTINGS =
            new LoadSettings(40_000, 48, Duration.ofSeconds(10), Duration.ofSeconds(3));
    private static final int LONG_PROMPT = 20_000;

    private final ManualScheduler time = new ManualScheduler();
    private final LoadEstimator load = new LoadEstimator(SETTINGS, time);
    private final List<Map<TargetId, Outstanding>> announced = new ArrayList<>();

    @BeforeEach
    void recordAnnouncements() {
        load.setLoadAnnouncer(() -> announced.add(load.ownOutstanding()));
    }

    /** Guards against announcing the load before the long prompt is counted in it. */
    @Test
    void announcesLongPromptImmediately() {
        load.onDispatch(ENGINE, LONG_PROMPT);

        assertThat(announced).containsExactly(Map.of(ENGINE, new Outstanding(LONG_PROMPT, 1)));
    }

    /** Guards against a message to all peers for every request with a short or cached prompt. */
    @Test
    void doesNotAnnounceShortPrompts() {
        for (int request = 0; request < 100; request++) {
            load.onDispatch(ENGINE, LONG_PROMPT - 1);
        }

        assertThat(announced).isEmpty();
    }
}
