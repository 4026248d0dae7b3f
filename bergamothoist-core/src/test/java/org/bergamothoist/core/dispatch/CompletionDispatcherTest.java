package org.bergamothoist.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bergamothoist.core.dispatch.DispatchFixture.Caller;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.platform.TargetFailure;
import org.bergamothoist.core.platform.TargetFailure.Kind;
import org.bergamothoist.core.request.CompletionExchange.ResumePoint;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.stream.ResumeToken;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class CompletionDispatcherTest {

    private static final TargetFailure BROKEN = new TargetFailure(Kind.BROKEN, "reset");

    /** Guards against cut, repeated or reordered pieces when an engine crashes in mid-stream. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 4})
    void continuesOnAnotherEngineAfterCrash(int deliveredBeforeCrash) {
        DispatchFixture fixture = new DispatchFixture(2);
        Caller caller = fixture.submit("question", true);
        ScriptedEngineClient.Dispatch first = fixture.engines.last();
        fixture.answer(first, 0, deliveredBeforeCrash);
        fixture.crash(first.call.target().id());
        first.listener.onFailed(BROKEN);
        fixture.settle();

        ScriptedEngineClient.Dispatch second = fixture.engines.last();
        assertThat(second).isNotSameAs(first);
        assertThat(second.call.deliveredText()).isEqualTo(caller.text.toString());
        assertThat(second.call.maximumTokens()).isEqualTo(10 - deliveredBeforeCrash);
        fixture.answer(second, deliveredBeforeCrash, 6 - deliveredBeforeCrash);
        second.listener.onCompleted();
        fixture.settle();

        assertThat(caller.text).hasToString("w0 w1 w2 w3 w4 w5 ");
        assertThat(caller.indexes).containsExactly(0, 1, 2, 3, 4, 5);
        assertThat(caller.outcome).isInstanceOf(Outcome.Answered.class);
    }

    /** Guards against a second execution of a non-idempotent request after any failure. */
    @ParameterizedTest
    @EnumSource(
            value = Kind.class,
            names = {"BROKEN", "FAILED", "REFUSED"})
    void neverSendsNonIdempotentRequestTwice(Kind kind) {
        DispatchFixture fixture = new DispatchFixture(3);
        Caller caller = fixture.submit("book a slot", false);
        fixture.engines.last().listener.onFailed(new TargetFailure(kind, "failed"));
        fixture.time.advance(Duration.ofMinutes(1));

        assertThat(fixture.engines.dispatches).hasSize(1);
        assertThat(caller.outcome).isInstanceOf(Outcome.Unknown.class);
    }

    /** Guards against "not run" being withheld when no connection could be made anywhere. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void reportsNotRunWhenNoByteWasSent(boolean idempotent) {
        DispatchFixture fixture = new DispatchFixture(1);
        Caller caller = fixture.submit("question", idempotent);
        for (int attempt = 0; attempt < 20 && caller.outcome == null; attempt++) {
            fixture.engines
                    .last()
                    .listener
                    .onFailed(new TargetFailure(Kind.NOT_SENT, "connection refused"));
            fixture.time.advance(Duration.ofSeconds(1));
        }
        assertThat(caller.outcome).isInstanceOf(Outcome.NotRun.class);
    }

    /** Guards against pieces of an abandoned attempt reaching the caller. */
    @Test
    void dropsLatePiecesOfFrozenEngine() {
        DispatchFixture fixture = new DispatchFixture(2);
        Caller caller = fixture.submit("question", true);
        ScriptedEngineClient.Dispatch frozen = fixture.engines.last();
        fixture.answer(frozen, 0, 2);
        fixture.time.advance(Duration.ofSeconds(11));
        fixture.dispatcher.checkProgress();
        fixture.settle();
        ScriptedEngineClient.Dispatch second = fixture.engines.last();
        fixture.answer(second, 2, 1);
        frozen.listener.onPiece(2, "late ", 1);
        frozen.listener.onCompleted();
        fixture.settle();
        assertThat(caller.outcome).isNull();
        second.listener.onPiece(1, "w3 ", 1);
        second.listener.onCompleted();
        fixture.settle();

        assertThat(frozen.cancelled).isTrue();
        assertThat(caller.text).hasToString("w0 w1 w2 w3 ");
        assertThat(caller.exchange.relay().lateEvents()).isEqualTo(2);
    }

    /** Guards against a gap in an engine's stream being passed on. */
    @Test
    void replacesEngineThatSkipsPiece() {
        DispatchFixture fixture = new DispatchFixture(2);
        Caller caller = fixture.submit("question", true);
        fixture.answer(fixture.engines.last(), 0, 1);
        fixture.engines.last().listener.onPiece(2, "w2 ", 1);
        fixture.settle();
        fixture.answer(fixture.engines.last(), 1, 2);
        fixture.engines.last().listener.onCompleted();
        fixture.settle();
        assertThat(caller.text).hasToString("w0 w1 w2 ");
    }

    /** Guards against one request crashing engine after engine, and against losing its batch. */
    @Test
    void quarantinesContentAfterTwoLossesAndFinishesInnocents() {
        DispatchFixture fixture = new DispatchFixture(4);
        Caller poison = fixture.submit("poison", true);
        List<Caller> innocents = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            innocents.add(fixture.submit("innocent " + number, true));
        }
        int enginesLost = 0;
        for (int round = 0; round < 40; round++) {
            enginesLost += crashEnginesThatRunPoison(fixture);
            fixture.time.advance(Duration.ofMillis(200));
            completeInnocents(fixture);
            fixture.settle();
        }

        assertThat(poison.outcome)
                .isEqualTo(
                        new Outcome.Unknown(
                                ErrorCode.REQUEST_QUARANTINED,
                                "engines were lost while they ran this content"));
        assertThat(enginesLost).isEqualTo(2);
        assertThat(innocents)
                .allSatisfy(
                        caller -> assertThat(caller.outcome).isInstanceOf(Outcome.Answered.class));
        assertThat(fixture.quarantine.isQuarantined(poison.exchange.fingerprint())).isTrue();
    }

    private static int crashEnginesThatRunPoison(DispatchFixture fixture) {
        int lost = 0;
        for (ScriptedEngineClient.Dispatch dispatch : List.copyOf(fixture.engines.dispatches)) {
            TargetId target = dispatch.call.target().id();
            if (!dispatch.call.prompt().text().equals("poison")
                    || dispatch.cancelled
                    || !fixture.engines.running.containsKey(target)) {
                continue;
            }
            fixture.crash(target);
            fixture.targets.removeIf(candidate -> candidate.id().equals(target));
            lost++;
            fixture.engines.dispatches.stream()
                    .filter(other -> other.call.target().id().equals(target))
                    .filter(other -> !other.cancelled)
                    .forEach(other -> other.listener.onFailed(BROKEN));
        }
        return lost;
    }

    /**
     * Guards against suspects of two daemons on one engine: the innocent one would be quarantined
     * with the other.
     */
    @Test
    void sendsSuspectOnlyToEnginesThatNoOtherDaemonHasReserved() {
        DispatchFixture fixture = new DispatchFixture(2);
        Caller caller = fixture.submit("question", true);
        ScriptedEngineClient.Dispatch first = fixture.engines.last();
        TargetId other = fixture.targets.get(1).id();
        fixture.reservation.refused.add(other);
        fixture.crash(first.call.target().id());
        first.listener.onFailed(BROKEN);
        fixture.settle();
        assertThat(fixture.engines.last()).isSameAs(first);

        fixture.reservation.refused.clear();
        fixture.time.advance(Duration.ofSeconds(1));
        ScriptedEngineClient.Dispatch second = fixture.engines.last();
        assertThat(second.call.target().id()).isEqualTo(other);
        assertThat(fixture.reservation.held).containsExactly(other);

        fixture.answer(second, 0, 6);
        second.listener.onCompleted();
        fixture.settle();
        assertThat(caller.outcome).isInstanceOf(Outcome.Answered.class);
        assertThat(fixture.reservation.held).isEmpty();
    }

    private static void completeInnocents(DispatchFixture fixture) {
        for (ScriptedEngineClient.Dispatch dispatch : List.copyOf(fixture.engines.dispatches)) {
            boolean runs = fixture.engines.running.containsKey(dispatch.call.target().id());
            if (runs && !dispatch.cancelled && dispatch.call.prompt().text().startsWith("inno")) {
                fixture.answer(dispatch, 0, 1);
                dispatch.listener.onCompleted();
            }
        }
    }

    /** Guards against a retry storm: without budget a sent request ends as unknown. */
    @Test
    void stopsRetryingWhenBudgetIsExhausted() {
        DispatchFixture fixture = new DispatchFixture(3);
        fixture.retriesLeft = 0;
        Caller caller = fixture.submit("question", true);
        fixture.engines.last().listener.onFailed(new TargetFailure(Kind.FAILED, "out of memory"));
        fixture.settle();
        assertThat(caller.outcome)
                .isEqualTo(new Outcome.Unknown(ErrorCode.RETRY_BUDGET_EXHAUSTED, "out of memory"));
    }

    /** Guards against loss of a stream whose daemon died: another daemon resumes it in place. */
    @Test
    void resumesStreamAtItsEngine() {
        DispatchFixture fixture = new DispatchFixture(2);
        ResumeToken token = tokenOfRunningStream(fixture);
        Caller resumed =
                fixture.submit(
                        "question", true, Optional.of(new ResumePoint(token, 2, Optional.empty())));
        assertThat(fixture.engines.resumes).hasSize(1);
        assertThat(fixture.engines.resumes.get(0).fromPiece()).isEqualTo(2);
        ScriptedEngineClient.Dispatch dispatch = fixture.engines.last();
        fixture.start(dispatch);
        dispatch.listener.onPiece(2, "w2 ", 1);
        dispatch.listener.onCompleted();
        fixture.settle();
        assertThat(resumed.indexes).containsExactly(2);
        assertThat(resumed.outcome).isInstanceOf(Outcome.Answered.class);
    }

    /** Guards against a wrong continuation when neither engine nor caller has the text. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void continuesUnknownStreamOnlyWithText(boolean textKnown) {
        DispatchFixture fixture = new DispatchFixture(2);
        ResumeToken token = tokenOfRunningStream(fixture);
        Optional<String> text = textKnown ? Optional.of("w0 w1 ") : Optional.empty();
        Caller resumed =
                fixture.submit("question", true, Optional.of(new ResumePoint(token, 2, text)));
        int before = fixture.engines.dispatches.size();
        fixture.engines
                .last()
                .listener
                .onFailed(new TargetFailure(Kind.STREAM_UNKNOWN, "unknown stream"));
        fixture.settle();
        if (textKnown) {
            assertThat(fixture.engines.last().call.deliveredText()).isEqualTo("w0 w1 ");
            return;
        }
        assertThat(fixture.engines.dispatches).hasSize(before);
        assertThat(resumed.outcome)
                .isEqualTo(
                        new Outcome.Unknown(
                                ErrorCode.STREAM_LOST, "the engine no longer has the stream"));
    }

    private static ResumeToken tokenOfRunningStream(DispatchFixture fixture) {
        Caller caller = fixture.submit("question", true);
        fixture.answer(fixture.engines.last(), 0, 2);
        return fixture.tokenCodec.decode(caller.token, fixture.time.instant());
    }
}
