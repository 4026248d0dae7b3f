package org.bergamothoist.gateway.caller;

/** Why a caller's connection ends while an answer on it has not been sent to its last byte. */
enum Disconnection {
    /** The caller closed or reset the connection. */
    CALLER_LEFT(
            "caller-left",
            "caller-left-unwritten",
            EndDecision.CALLER_LEFT,
            "connection closed by the caller"),
    /** The caller's bytes were not valid, or an unexpected failure happened. */
    CONNECTION_FAULT(
            "caller-left",
            "caller-fault-unwritten",
            EndDecision.ERROR,
            "connection closed by the caller"),
    /** The caller accepted no byte of the answer within the idle timeout. */
    CALLER_IDLE(
            "caller-idle",
            "caller-idle-unwritten",
            EndDecision.CALLER_LEFT,
            "the caller accepted no byte within the idle timeout"),
    /** A later answer on the connection could not be completed. */
    LATER_ANSWER_BROKEN(
            "broken",
            "broken-unwritten",
            EndDecision.ERROR,
            "a later answer on the connection was broken off"),
    /** The daemon stops, and its grace period has ended. */
    GRACE_ENDED(
            "stopped-broken",
            "stopped-unwritten",
            EndDecision.GRACE_ENDED,
            "the grace of the planned stop ended");

    private final String outcome;
    private final String unwrittenOutcome;
    private final EndDecision decision;
    private final String detail;

    Disconnection(String outcome, String unwrittenOutcome, EndDecision decision, String detail) {
        this.outcome = outcome;
        this.unwrittenOutcome = unwrittenOutcome;
        this.decision = decision;
        this.detail = detail;
    }

    /** Returns the outcome of a request that was still in progress. */
    String outcome() {
        return outcome;
    }

    /** Returns the outcome of an answer that was complete here, but not yet written. */
    String unwrittenOutcome() {
        return unwrittenOutcome;
    }

    EndDecision decision() {
        return decision;
    }

    String detail() {
        return detail;
    }
}
