package org.bergamothoist.core.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.bergamothoist.core.decision.DecisionKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StoreEraTest {

    private static final String TOPIC = "topic";

    private final List<DecisionKind> lines = new ArrayList<>();
    private final StoreEra era = new StoreEra((kind, subject, inputs, outcome) -> lines.add(kind));

    /** Guards against a return of the store from an older copy that leaves no trace. */
    @Test
    void laterEraIsAFallback() {
        era.onAnnounced(List.of("3"));
        era.onAnnounced(List.of("3"));
        era.onAnnounced(List.of());
        assertThat(lines).isEmpty();
        era.onAnnounced(List.of("4"));
        assertThat(lines).containsExactly(DecisionKind.STORE_FELL_BACK);
        assertThat(era.current()).isEqualTo(4);
        assertThat(era.fallbacks()).isEqualTo(1);
    }

    /** Guards against an odd header that is believed or ends the reads. */
    @ParameterizedTest
    @ValueSource(strings = {"", "x", "-4", "4.5", "99999999999999999999", "4,5"})
    void headerThatIsNoWholeNumberIsIgnored(String value) {
        era.onAnnounced(List.of("3"));
        era.onAnnounced(List.of(value.split(",")));
        assertThat(lines).containsExactly(DecisionKind.RECORD_IGNORED);
        assertThat(era.current()).isEqualTo(3);
    }

    /** Guards against a fallback that is missed where the store announces no era. */
    @Test
    void endBelowAnEarlierOneIsAFallbackOnce() {
        era.onEnd(era.onSent(TOPIC), 9);
        StoreEra.SentCall sent = era.onSent(TOPIC);
        StoreEra.SentCall other = era.onSent(TOPIC);
        era.onEnd(sent, 5);
        era.onEnd(other, 5);
        era.onEnd(era.onSent(TOPIC), 6);
        assertThat(era.fallbacks()).isEqualTo(1);
    }

    /** Guards against answers that overtake each other and are taken for a fallback. */
    @Test
    void answerToAnEarlierCallMayStateALowerEnd() {
        StoreEra.SentCall early = era.onSent(TOPIC);
        era.onEnd(era.onSent(TOPIC), 9);
        era.onEnd(early, 5);
        assertThat(lines).isEmpty();
    }
}
