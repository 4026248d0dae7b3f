package org.bergamothoist.gateway.caller;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import org.bergamothoist.core.relay.AttemptFailure;
import org.bergamothoist.core.time.Scheduler;

/**
 * Sends a request whose target is silent to another target, and keeps the silent one until the
 * other has taken the request. Confined to the event loop.
 */
final class Takeover {

    /**
     * Time after which a target that has not refused a request counts as having taken it. Targets
     * refuse at once, and must not work on one request beside each other for longer than 400 ms.
     */
    private static final Duration MAXIMUM_OVERLAP = Duration.ofMillis(300);

    /** What a takeover needs of the request. */
    interface Request {

        boolean isEnded();

        /** Returns a target that would answer in time instead of an attempt's, or empty. */
        Optional<TargetSelector.Selection> chooseOther(Attempt replaced);

        /** Returns whether the request may be sent again; if so, takes a retry from the budget. */
        boolean tryRetry(AttemptFailure failure);

        /** Sends an attempt to its target. */
        void start(Attempt attempt, TargetSelector.Selection selection);
    }

    private final Request request;
    private final Function<TargetSelector.Selection, Attempt> attemptFactory;
    private final RequestAttempts attempts;
    private final TargetChoice targets;
    private final ResponseRelay relay;
    private final SilenceTimer silenceTimer;
    private final TargetWait targetWait;
    private final ExchangeLog log;
    private final Scheduler scheduler;

    Takeover(
            Request request,
            Function<TargetSelector.Selection, Attempt> attemptFactory,
            RequestAttempts attempts,
            TargetChoice targets,
            ResponseRelay relay,
            SilenceTimer silenceTimer,
            TargetWait targetWait,
            ExchangeLog log,
            Scheduler scheduler) {
        this.request = request;
        this.attemptFactory = attemptFactory;
        this.attempts = attempts;
        this.targets = targets;
        this.relay = relay;
        this.silenceTimer = silenceTimer;
        this.targetWait = targetWait;
        this.log = log;
        this.scheduler = scheduler;
    }

    /** Looks for a target that takes over from the current one, which has become silent. */
    void onTargetSilent() {
        targetWait.end();
        begin();
    }

    private void begin() {
        silenceTimer.restart();
        if (request.isEnded() || !attempts.hasCurrent() || attempts.hasSuccessor()) {
            return;
        }
        if (!sendToSuccessor()) {
            log.targetSilent(attempts.current().targetId(), "waits");
        }
    }

    /** Returns false, without effect, if no other target would answer in time. */
    private boolean sendToSuccessor() {
        Attempt silent = attempts.current();
        Optional<TargetSelector.Selection> chosen = request.chooseOther(silent);
        if (chosen.isEmpty() || !request.tryRetry(AttemptFailure.NO_ANSWER)) {
            return false;
        }
        targets.addTried(silent.targetId());
        silent.recordSilence();
        Attempt successor = attemptFactory.apply(chosen.get());
        attempts.beginSuccessor(successor);
        request.start(successor, chosen.get());
        return true;
    }

    /** Notes that an attempt was sent to its target. */
    void onSent(Attempt sent) {
        if (attempts.isSuccessor(sent)) {
            scheduler.schedule(MAXIMUM_OVERLAP, () -> replaceBy(sent));
        }
    }

    private void replaceBy(Attempt successor) {
        if (!request.isEnded() && attempts.isSuccessor(successor)) {
            replace();
        }
    }

    private void replace() {
        attempts.replaceCurrent();
        relay.discardIncompleteEvent();
        targetWait.end();
        silenceTimer.restart();
    }

    /**
     * Notes that a target answers; of two attempts, only this one goes on.
     *
     * @param continuable whether another target may go on with the answer
     */
    void onAnswering(Attempt answering, boolean continuable) {
        if (attempts.isSuccessor(answering)) {
            replace();
        } else if (!continuable) {
            onProgress();
        }
    }

    /** Notes that the current target is not silent. */
    void onProgress() {
        attempts.dropSuccessor();
        targetWait.end();
    }

    /** Returns whether another attempt than a failed one is in progress, which goes on. */
    boolean continueWithout(Attempt failed, AttemptFailure failure) {
        if (!attempts.hasSuccessor()) {
            return false;
        }
        if (!attempts.isSuccessor(failed)) {
            replace();
            return true;
        }
        targets.addTried(failed.targetId());
        attempts.failSuccessor(failure);
        if (!sendToSuccessor() && targetWait.schedule(this::lookAgain)) {
            targets.forgetTried();
        }
        return true;
    }

    /** Looks for a successor again, unless the target has gone on since. */
    private void lookAgain() {
        if (targetWait.isWaiting()) {
            begin();
        }
    }
}
