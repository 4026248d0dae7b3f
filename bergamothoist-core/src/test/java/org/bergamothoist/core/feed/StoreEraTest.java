package org.bergamothoist.core.feed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.bergamothoist.core.decision.DecisionKind;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StoreEraTest {

    private static final String TOPIC = "topic";

    private final List<DecisionKind> lines = new ArrayList<>();
    private final StoreEra era = new StoreEra((kind, subject, inputs, outcome) -> lines.add(kind));
    private final List<String> events = new ArrayList<>();

    @BeforeEach
    void listen() {
        era.addListener((before, after) -> events.add(before + " " + after));
    }

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
        assertThat(events).containsExactly("3 4");
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
        assertThatThrownBy(() -> era.onEnd(other, 9)).isInstanceOf(OutdatedAnswerException.class);
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

    /** Guards against an answer of an earlier era that arrives late and is used. */
    @Test
    void answerOfAnEarlierEraIsNotUsed() {
        era.onAnnounced(List.of("4"));
        assertThatThrownBy(() -> era.onAnnounced(List.of("3")))
                .isInstanceOf(OutdatedAnswerException.class);
        assertThat(era.current()).isEqualTo(4);
        assertThat(era.droppedAnswers()).isEqualTo(1);
        assertThat(events).isEmpty();
    }

    /** Guards against an answer of the new era to a call that named an offset of the old one. */
    @Test
    void callOfAnEarlierEraCountsAsNotAnswered() {
        era.onAnnounced(List.of("4"));
        StoreEra.SentCall sent = era.onSent(TOPIC);
        era.requireSameEra(sent);
        era.onAnnounced(List.of("5"));
        assertThatThrownBy(() -> era.requireSameEra(sent))
                .isInstanceOf(OutdatedAnswerException.class);
    }

    /** Guards against an end that goes back within an era and is believed. */
    @Test
    void endThatGoesBackWithinAnAnnouncedEraIsNotUsed() {
        era.onAnnounced(List.of("4"));
        era.onEnd(era.onSent(TOPIC), 9);
        StoreEra.SentCall sent = era.onSent(TOPIC);
        assertThatThrownBy(() -> era.onEnd(sent, 8)).isInstanceOf(OutdatedAnswerException.class);
        assertThat(events).isEmpty();
    }

    /**
     * Guards against a topic that is shut out for good by one answer that states too high an end.
     */
    @Test
    void topicIsReadOnAfterOneAnswerWithAWrongEnd() {
        era.onAnnounced(List.of("4"));
        era.onEnd(era.onSent(TOPIC), 9);
        era.onEnd(era.onSent(TOPIC), 5_000);
        StoreEra.SentCall sent = era.onSent(TOPIC);
        assertThatThrownBy(() -> era.onEnd(sent, 9)).isInstanceOf(OutdatedAnswerException.class);
        era.onEnd(era.onSent(TOPIC), 10);
        assertThat(events).isEmpty();
    }

    /** Guards against a late answer without announcement whose end shuts out the new era's. */
    @Test
    void endOfALateAnswerWithoutAnnouncementIsNotUsedInTheNextEra() {
        era.onAnnounced(List.of("4"));
        StoreEra.SentCall late = era.onSent(TOPIC);
        era.onAnnounced(List.of("5"));
        era.onEnd(late, 900);
        era.onAppended(late, 900, 901);
        era.onEnd(era.onSent(TOPIC), 20);
        assertThat(era.droppedAnswers()).isZero();
    }
}
