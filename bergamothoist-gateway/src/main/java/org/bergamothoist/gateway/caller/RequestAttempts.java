package org.bergamothoist.gateway.caller;

import org.bergamothoist.core.relay.AttemptFailure;
import org.bergamothoist.core.relay.RetryPolicy;

/**
 * The attempts of one request. While the target of the current one is silent, a second one may be
 * in progress, its successor; whichever answers first goes on. Confined to the event loop.
 */
final class RequestAttempts {

    private final ExchangeLog log;
    private RetryPolicy.History history = RetryPolicy.History.NONE;
    private Attempt current;
    private Attempt successor;

    /** The failed attempts when the successor began, without the silent one. */
    private RetryPolicy.History historyBeforeSuccessor = RetryPolicy.History.NONE;

    RequestAttempts(ExchangeLog log) {
        this.log = log;
    }

    /**
     * Returns the attempts that count as failed. While there is a successor, the silent attempt is
     * one of them.
     */
    RetryPolicy.History history() {
        return history;
    }

    /** Returns the attempt whose answer is relayed, or null if there is none. */
    Attempt current() {
        return current;
    }

    boolean hasCurrent() {
        return current != null;
    }

    boolean hasSuccessor() {
        return successor != null;
    }

    boolean isSuccessor(Attempt attempt) {
        return attempt == successor;
    }

    boolean isInProgress(Attempt attempt) {
        return attempt == current || attempt == successor;
    }

    void begin(Attempt attempt) {
        current = attempt;
    }

    /** Begins an attempt beside the current one, which is silent. */
    void beginSuccessor(Attempt attempt) {
        historyBeforeSuccessor = history;
        history = history.after(AttemptFailure.NO_ANSWER);
        successor = attempt;
        log.targetSilent(current.targetId(), "sent to " + attempt.targetId() + " as well");
    }

    /** Ends the silent attempt and lets its successor replace it. */
    void replaceCurrent() {
        log.targetSilent(current.targetId(), "replaced by " + successor.targetId());
        current.abandon();
        current = successor;
        successor = null;
    }

    /** Ends the successor, if there is one, because the silent attempt goes on. */
    void dropSuccessor() {
        if (successor != null) {
            log.targetSilent(current.targetId(), "keeps the request, not " + successor.targetId());
            endSuccessor();
        }
    }

    private void endSuccessor() {
        Attempt ending = successor;
        successor = null;
        ending.abandon();
        if (!ending.wasSent()) {
            history = historyBeforeSuccessor;
        }
    }

    /** Records the failure of the successor; the silent attempt remains. */
    void failSuccessor(AttemptFailure failure) {
        successor = null;
        history = historyBeforeSuccessor.after(failure);
    }

    /** Records the failure of the only attempt. */
    void fail(AttemptFailure failure) {
        history = history.after(failure);
        current = null;
    }

    /** Stops the targets' work on all attempts. */
    void abandon() {
        if (successor != null) {
            endSuccessor();
        }
        if (current != null) {
            current.abandon();
        }
    }

    /** Forgets the attempt in progress after the end of the request. */
    void end() {
        current = null;
    }
}
