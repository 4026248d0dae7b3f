package org.bergamothoist.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.bergamothoist.core.dispatch.DispatchFixture.Caller;
import org.bergamothoist.core.platform.TargetFailure;
import org.bergamothoist.core.platform.TargetFailure.Kind;
import org.bergamothoist.core.request.Outcome;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class HedgedDispatchTest {

    private static final Duration LONGER_THAN_HEDGE_DELAY = Duration.ofSeconds(2);

    private final DispatchFixture fixture = new DispatchFixture(3);

    @BeforeEach
    void recordFirstTokenLatencies() {
        for (int request = 0; request < 1_000; request++) {
            fixture.hedgePolicy.onFirstToken(Duration.ofMillis(100));
        }
    }

    /** Guards against delivering pieces of both attempts, whichever of them is faster. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void deliversOnlyTheFasterAttempt(boolean firstWins) {
        Caller caller = fixture.submit("question", true);
        fixture.time.advance(LONGER_THAN_HEDGE_DELAY);
        assertThat(fixture.engines.dispatches).hasSize(2);
        ScriptedEngineClient.Dispatch winner = fixture.engines.dispatches.get(firstWins ? 0 : 1);
        ScriptedEngineClient.Dispatch loser = fixture.engines.dispatches.get(firstWins ? 1 : 0);
        fixture.startResponse(loser);
        fixture.streamPieces(winner, 0, 2);
        fixture.streamPieces(loser, 0, 2);
        loser.listener.onCompleted();
        winner.listener.onPiece(2, "w2 ", 1);
        winner.listener.onCompleted();
        fixture.runPendingTasks();

        assertThat(loser.cancelled).isTrue();
        assertThat(caller.text).hasToString("w0 w1 w2 ");
        assertThat(caller.outcome).isInstanceOf(Outcome.Answered.class);
        assertThat(fixture.hedgePolicy.wastedTokens()).isPositive();
    }

    /** Guards against a second execution of a non-idempotent request by hedging. */
    @Test
    void neverHedgesNonIdempotentRequests() {
        fixture.submit("book a slot", false);
        fixture.time.advance(LONGER_THAN_HEDGE_DELAY);
        assertThat(fixture.engines.dispatches).hasSize(1);
    }

    /** Guards against losing a request when one of its two attempts fails. */
    @ParameterizedTest
    @EnumSource(
            value = Kind.class,
            names = {"NOT_SENT", "BROKEN", "FAILED", "REFUSED"})
    void continuesWithTheOtherAttempt(Kind failure) {
        for (int failing = 0; failing < 2; failing++) {
            DispatchFixture fresh = new DispatchFixture(3);
            for (int request = 0; request < 1_000; request++) {
                fresh.hedgePolicy.onFirstToken(Duration.ofMillis(100));
            }
            Caller caller = fresh.submit("question", true);
            fresh.time.advance(LONGER_THAN_HEDGE_DELAY);
            fresh.engines
                    .dispatches
                    .get(failing)
                    .listener
                    .onFailed(new TargetFailure(failure, "failed"));
            fresh.runPendingTasks();
            ScriptedEngineClient.Dispatch other = fresh.engines.dispatches.get(1 - failing);
            fresh.streamPieces(other, 0, 3);
            other.listener.onCompleted();
            fresh.runPendingTasks();
            assertThat(caller.text).hasToString("w0 w1 w2 ");
            assertThat(caller.outcome).isInstanceOf(Outcome.Answered.class);
        }
    }
}
