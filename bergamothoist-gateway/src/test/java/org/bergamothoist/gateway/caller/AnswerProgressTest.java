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
        "NO_ANSWER, true, STOPPING, TARGET_SILENT",
        "NO_ANSWER, true, NO_TARGET, TARGET_SILENT",
        "NO_ANSWER, true, DEADLINE_EXCEEDED, DEADLINE",
        "NO_ANSWER, false, TARGET_FAILED, TARGET_BROKE_OFF",
        "BROKEN_STREAM, false, TARGET_FAILED, TARGET_BROKE_OFF",
        "BROKEN_STREAM, false, STOPPING, TARGET_BROKE_OFF",
        "SERVER_ERROR, false, TARGET_FAILED, TARGET_FAILED",
        "REFUSED, false, TARGET_FAILED, TARGET_FAILED",
        "INVALID_ANSWER, false, TARGET_FAILED, INVALID_ANSWER",
        "NOT_SENT, false, STOPPING, STOPPING",
        "NOT_SENT, false, NO_TARGET, NO_TARGET",
        "NOT_SENT, false, TARGET_FAILED, ERROR"
    })
    void failureOfTheLastAttemptNamesWhoDecided(
            AttemptFailure failure, boolean givenUp, ErrorCode error, EndDecision expected) {
        progress.onLatest(answer);
        if (givenUp) {
            answer.onAbandoned();
        }
        answer.onFailed(failure);
        progress.onError(error);
        assertThat(progress.decision()).isEqualTo(expected);
    }

    /** Guards against lack of memory that looks like an invalid answer of the target. */
    @Test
    void lackOfMemoryIsNoFaultOfTheTarget() {
        progress.onLatest(answer);
        answer.onOutOfMemory();
        answer.onFailed(AttemptFailure.INVALID_ANSWER);
        progress.onError(ErrorCode.TARGET_FAILED);
        assertThat(progress.decision()).isEqualTo(EndDecision.OUT_OF_MEMORY);
    }

    /** Guards against a cut that is put down to an earlier failure of a target. */
    @ParameterizedTest
    @EnumSource
    void endOfTheConnectionDecidesBeforeAnEarlierFailure(Disconnection reason) {
        progress.onLatest(answer);
        answer.onFailed(AttemptFailure.BROKEN_STREAM);
        progress.onDisconnected(reason);
        assertThat(progress.decision()).isEqualTo(reason.decision());
    }

    /** Guards against lines that do not tell a silent target from a slow reader. */
    @Test
    void silenceCountsFromTheLastBytesAndPausedReadingIsNamed() {
        progress.onLatest(answer);
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
        progress.onLatest(answer);
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
        progress.onLatest(answer);
        assertThat(progress.describe(START)).startsWith("target=i-1 sent=no received=none");
    }
}
