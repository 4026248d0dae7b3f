package org.bergamothoist.gateway.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.bergamothoist.core.relay.AttemptFailure;

/** How far a target's answer to one attempt has come. Confined to the event loop. */
final class TargetAnswer {

    private final String target;
    private Instant sentAt;
    private Instant lastBytesAt;
    private Instant endedAt;
    private boolean readingPaused;
    private boolean endedByTarget;
    private boolean endedByClose;
    private boolean abandoned;
    private boolean outOfMemory;
    private AttemptFailure failure;

    TargetAnswer(String target) {
        this.target = target;
    }

    void onSent(Instant now) {
        sentAt = now;
    }

    void onBytes(Instant now) {
        lastBytesAt = now;
    }

    /** Notes whether the daemon reads on; it pauses while the caller accepts no bytes. */
    void onReading(boolean reading) {
        readingPaused = !reading;
    }

    /** Notes that the target has ended its answer, perhaps only by closing the connection. */
    void onComplete(boolean byClose) {
        endedByTarget = true;
        endedByClose = byClose;
    }

    void onEnded(Instant now) {
        endedAt = now;
    }

    /** Notes that this daemon gave the attempt up. */
    void onAbandoned() {
        abandoned = true;
    }

    /** Notes that no memory was left for the part of an event that has come. */
    void onOutOfMemory() {
        outOfMemory = true;
    }

    void onFailed(AttemptFailure attemptFailure) {
        failure = attemptFailure;
    }

    /** Returns what the failure of the attempt says of the target, or empty if nothing. */
    Optional<EndDecision> failureDecision() {
        if (failure == null) {
            return Optional.empty();
        }
        return switch (failure) {
            case NO_ANSWER ->
                    Optional.of(
                            abandoned ? EndDecision.TARGET_SILENT : EndDecision.TARGET_BROKE_OFF);
            case BROKEN_STREAM -> Optional.of(EndDecision.TARGET_BROKE_OFF);
            case REFUSED, SERVER_ERROR -> Optional.of(EndDecision.TARGET_FAILED);
            case INVALID_ANSWER ->
                    Optional.of(
                            outOfMemory ? EndDecision.OUT_OF_MEMORY : EndDecision.INVALID_ANSWER);
            case NOT_SENT, MOVED_AWAY -> Optional.empty();
        };
    }

    /** Describes the target, its silence, and how much of its answer came. */
    String describe(Instant now) {
        return "target="
                + target
                + (sentAt == null
                        ? " sent=no"
                        : " sent-before="
                                + millisecondsSince(sentAt, now)
                                + " silent="
                                + millisecondsSince(lastBytesAt == null ? sentAt : lastBytesAt, now)
                                + (readingPaused ? " reading=paused" : ""))
                + " received="
                + received()
                + (endedAt == null ? "" : " ended-before=" + millisecondsSince(endedAt, now));
    }

    private String received() {
        if (endedByTarget) {
            return endedByClose ? "to-close" : "whole";
        }
        return lastBytesAt == null ? "none" : "part";
    }

    private static long millisecondsSince(Instant time, Instant now) {
        return Duration.between(time, now).toMillis();
    }
}
