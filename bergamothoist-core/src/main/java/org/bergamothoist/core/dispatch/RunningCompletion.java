package org.bergamothoist.core.dispatch;

import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.request.CompletionExchange;

/** State of a completion from its first dispatch to its outcome. Confined to the control thread. */
final class RunningCompletion {

    private final CompletionExchange exchange;
    private final Instant startedAt;
    private final Set<TargetId> excludedTargets = new HashSet<>();
    private final Set<EngineLoss> observedLosses = new HashSet<>();
    private int attempts;
    private EngineAttempt currentAttempt;
    private EngineAttempt hedgeAttempt;
    private EngineLoss possibleLoss;
    private TargetId suspectTarget;

    RunningCompletion(CompletionExchange exchange, Instant startedAt) {
        this.exchange = exchange;
        this.startedAt = startedAt;
    }

    /** An incarnation of an engine that was, or may have been, lost while it ran this request. */
    record EngineLoss(TargetId target, EngineIncarnation incarnation) {}

    CompletionExchange exchange() {
        return exchange;
    }

    Instant startedAt() {
        return startedAt;
    }

    Set<TargetId> excludedTargets() {
        return excludedTargets;
    }

    int attempts() {
        return attempts;
    }

    EngineAttempt currentAttempt() {
        return currentAttempt;
    }

    /** Returns the hedge that runs concurrently with the current attempt, or null. */
    EngineAttempt hedgeAttempt() {
        return hedgeAttempt;
    }

    boolean isActive(EngineAttempt attempt) {
        return attempt != null && (attempt == currentAttempt || attempt == hedgeAttempt);
    }

    void startAttempt(EngineAttempt attempt) {
        attempts++;
        currentAttempt = attempt;
    }

    void startHedge(EngineAttempt attempt) {
        attempts++;
        hedgeAttempt = attempt;
    }

    /** Removes an active attempt; the other one, if any, becomes the current attempt. */
    void endAttempt(EngineAttempt attempt) {
        if (attempt == currentAttempt) {
            currentAttempt = hedgeAttempt;
        }
        hedgeAttempt = null;
    }

    void recordLoss(TargetId target, EngineIncarnation incarnation) {
        observedLosses.add(new EngineLoss(target, incarnation));
    }

    boolean hasSeenEngineLoss() {
        return !observedLosses.isEmpty();
    }

    /** Records that the attempt's stream broke, so that its engine may be lost. */
    void recordPossibleLoss(EngineAttempt attempt) {
        possibleLoss = new EngineLoss(attempt.target().id(), attempt.incarnation());
    }

    /** Returns whether the request is running, or last broke, on this incarnation of an engine. */
    boolean wasRunningOn(TargetId target, EngineIncarnation incarnation) {
        if (currentAttempt != null) {
            return currentAttempt.target().id().equals(target)
                    && currentAttempt.incarnation().equals(incarnation);
        }
        return new EngineLoss(target, incarnation).equals(possibleLoss);
    }

    /** Records the target that was reserved for this suspect request. */
    void setSuspectTarget(TargetId target) {
        suspectTarget = target;
    }

    /** Returns and clears the target that was reserved for this suspect request. */
    Optional<TargetId> takeSuspectTarget() {
        Optional<TargetId> taken = Optional.ofNullable(suspectTarget);
        suspectTarget = null;
        return taken;
    }
}
