package org.bergamothoist.gateway.caller;

import java.time.Instant;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.bergamothoist.core.error.ErrorCode;

/**
 * What the log tells of the answer to a request that ends while the daemon stops. Confined to the
 * event loop.
 */
final class AnswerProgress {

    private final LongSupplier bytesToWrite;
    private boolean bodyReceived;
    private TargetAnswer latest;

    /**
     * The last answer that this daemon gave up, because its target was silent, if no target has
     * answered since; else null.
     */
    private TargetAnswer givenUp;

    private ErrorCode error;
    private Disconnection disconnection;

    /**
     * Creates the progress of a request without an attempt.
     *
     * @param bytesToWrite the bytes that wait in this process until the caller accepts them
     */
    AnswerProgress(LongSupplier bytesToWrite) {
        this.bytesToWrite = bytesToWrite;
    }

    void onBodyReceived() {
        bodyReceived = true;
    }

    /** Notes the answer of an attempt that begins. */
    void onBegun(TargetAnswer answer) {
        latest = answer;
    }

    /**
     * Notes the answer of an attempt that ends. The one that ended last is described, unless the
     * answer of the other one of two attempts is whole.
     */
    void onEnded(TargetAnswer answer) {
        if (answer.isGivenUp()) {
            givenUp = answer;
        } else if (answer.hasBegun()) {
            givenUp = null;
        }
        if (latest == null || !latest.isWhole()) {
            latest = answer;
        }
    }

    /** Notes the error with which this daemon ends the request. */
    void onError(ErrorCode code) {
        error = code;
    }

    void onDisconnected(Disconnection reason) {
        disconnection = reason;
    }

    /** Returns what decided that the request, which has ended, ended when it did. */
    EndDecision decision() {
        if (disconnection != null) {
            return disconnection.decision();
        }
        if (error == null) {
            return EndDecision.ANSWERED;
        }
        if (error == ErrorCode.DEADLINE_EXCEEDED) {
            return EndDecision.DEADLINE;
        }
        if (givenUp != null) {
            return EndDecision.TARGET_SILENT;
        }
        return Optional.ofNullable(latest)
                .flatMap(TargetAnswer::failureDecision)
                .orElse(
                        switch (error) {
                            case STOPPING -> EndDecision.STOPPING;
                            case NO_TARGET -> EndDecision.NO_TARGET;
                            default -> EndDecision.ERROR;
                        });
    }

    /** Describes what the request waited for. */
    String describe(Instant now) {
        String from =
                latest == null
                        ? "target=none waited-for=" + (bodyReceived ? "target" : "body")
                        : latest.describe(now);
        return from
                + (givenUp == null || givenUp == latest ? "" : givenUp.describeGivenUp(now))
                + " to-write="
                + bytesToWrite.getAsLong();
    }
}
