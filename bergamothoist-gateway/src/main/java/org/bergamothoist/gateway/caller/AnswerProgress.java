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

    /** Notes the answer of an attempt that begins or ends; the last one noted is described. */
    void onLatest(TargetAnswer answer) {
        latest = answer;
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
        return from + " to-write=" + bytesToWrite.getAsLong();
    }
}
