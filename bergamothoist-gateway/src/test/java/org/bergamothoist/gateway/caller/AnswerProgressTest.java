package org.bergamothoist.gateway.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.relay.AttemptFailure;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class AnswerProgressTest {

    private static final Instant START = Instant.EPOCH;

    private final AnswerProgress progress = new AnswerProgress(() -> 70_000);
    private final TargetAnswer answer = new TargetAnswer("i-1");

    private static Instant after(long milliseconds) {
        return START.plusMillis(milliseconds);
    }

    /** Guards against a line that blames the wrong side for the end of an answer. */
    @ParameterizedTest
    @CsvSource({
        "NO_ANSWER, DEADLINE_EXCEEDED, DEADLINE",
        "NO_ANSWER, TARGET_FAILED, TARGET_BROKE_OFF",
        "BROKEN_STREAM, TARGET_FAILED, TARGET_BROKE_OFF",
        "BROKEN_STREAM, STOPPING, TARGET_BROKE_OFF",
        "SERVER_ERROR, TARGET_FAILED, TARGET_FAILED",
        "REFUSED, TARGET_FAILED, TARGET_FAILED",
        "INVALID_ANSWER, TARGET_FAILED, INVALID_ANSWER",
        "NOT_SENT, STOPPING, STOPPING",
        "NOT_SENT, NO_TARGET, NO_TARGET",
        "NOT_SENT, TARGET_FAILED, ERROR"
    })
    void failureOfTheLastAttemptNamesWhoDecided(
            AttemptFailure failure, ErrorCode error, EndDecision expected) {
        progress.onBegun(answer);
        answer.onFailed(failure);
        progress.onError(error);
        assertThat(progress.decision()).isEqualTo(expected);
    }

    private TargetAnswer replaceSilentAnswer() {
        progress.onBegun(answer);
        answer.onSent(after(0));
        answer.onBytes(after(100));
        answer.onFailed(AttemptFailure.NO_ANSWER);
        TargetAnswer successor = new TargetAnswer("i-2");
        progress.onBegun(successor);
        successor.onSent(after(2_000));
        answer.onAbandoned();
        answer.onEnded(after(2_300));
        progress.onEnded(answer);
        return successor;
    }

    /** Guards against an end that hides that a silent target was given up for another one. */
    @ParameterizedTest
    @CsvSource({"REFUSED, TARGET_FAILED", "BROKEN_STREAM, TARGET_FAILED", "NOT_SENT, NO_TARGET"})
    void silentTargetThatWasGivenUpIsNamed(AttemptFailure failure, ErrorCode error) {
        TargetAnswer successor = replaceSilentAnswer();
        successor.onFailed(failure);
        progress.onEnded(successor);
        progress.onError(error);
        assertThat(progress.decision()).isEqualTo(EndDecision.TARGET_SILENT);
        assertThat(progress.describe(after(3_000)))
                .contains("target=i-2 ")
                .contains("given-up=i-1 given-up-before=700 ");
    }

    /** Guards against blaming a silence after which another target has gone on. */
    @Test
    void silenceDoesNotCountOnceAnotherTargetHasAnswered() {
        TargetAnswer successor = replaceSilentAnswer();
        successor.onBytes(after(2_400));
        successor.onFailed(AttemptFailure.BROKEN_STREAM);
        progress.onEnded(successor);
        progress.onError(ErrorCode.TARGET_FAILED);
        assertThat(progress.decision()).isEqualTo(EndDecision.TARGET_BROKE_OFF);
    }

    /** Guards against a line that names the other target, which was asked in vain. */
    @Test
    void targetThatEndedItsAnswerAfterASilenceIsNamed() {
        progress.onBegun(answer);
        answer.onSent(after(0));
        answer.onFailed(AttemptFailure.NO_ANSWER);
        TargetAnswer successor = new TargetAnswer("i-2");
        progress.onBegun(successor);
        answer.onBytes(after(500));
        answer.onComplete(false);
        progress.onEnded(answer);
        successor.onAbandoned();
        progress.onEnded(successor);
        assertThat(progress.decision()).isEqualTo(EndDecision.ANSWERED);
        assertThat(progress.describe(after(500))).startsWith("target=i-1 ");
    }

    /** Guards against lack of memory that looks like an invalid answer of the target. */
    @Test
    void lackOfMemoryIsNoFaultOfTheTarget() {
        progress.onBegun(answer);
        answer.onOutOfMemory();
        answer.onFailed(AttemptFailure.INVALID_ANSWER);
        progress.onError(ErrorCode.TARGET_FAILED);
        assertThat(progress.decision()).isEqualTo(EndDecision.OUT_OF_MEMORY);
    }

    /** Guards against a cut that is put down to an earlier failure of a target. */
    @ParameterizedTest
    @EnumSource
    void endOfTheConnectionDecidesBeforeAnEarlierFailure(Disconnection reason) {
        progress.onBegun(answer);
        answer.onFailed(AttemptFailure.BROKEN_STREAM);
        progress.onDisconnected(reason);
        assertThat(progress.decision()).isEqualTo(reason.decision());
    }

    /** Guards against lines that do not tell a silent target from a slow reader. */
    @Test
    void silenceCountsFromTheLastBytesAndPausedReadingIsNamed() {
        progress.onBegun(answer);
        answer.onSent(after(100));
        assertThat(progress.describe(after(700)))
                .isEqualTo("target=i-1 sent-before=600 silent=600 received=none to-write=70000");
        answer.onBytes(after(1_000));
        assertThat(progress.describe(after(5_000)))
                .isEqualTo("target=i-1 sent-before=4900 silent=4000 received=part to-write=70000");
        answer.onReading(false);
        assertThat(progress.describe(after(5_000))).contains("silent=4000 reading=paused");
    }

    /** Guards against an answer that waits for proof of its end and looks complete, or cut. */
    @ParameterizedTest
    @CsvSource({"false, whole", "true, to-close"})
    void endOfTheTargetsAnswerIsNamed(boolean byClose, String received) {
        progress.onBegun(answer);
        answer.onSent(after(0));
        answer.onBytes(after(100));
        answer.onComplete(byClose);
        answer.onEnded(after(100));
        assertThat(progress.describe(after(300)))
                .contains("received=" + received + " ended-before=200");
    }

    /** Guards against a request without an attempt whose line does not say what it waited for. */
    @Test
    void requestWithoutAnAttemptNamesWhatItWaitedFor() {
        assertThat(progress.describe(START)).startsWith("target=none waited-for=body");
        progress.onBodyReceived();
        assertThat(progress.describe(START)).startsWith("target=none waited-for=target");
        progress.onBegun(answer);
        assertThat(progress.describe(START)).startsWith("target=i-1 sent=no received=none");
    }
}
