package org.bergamothoist.core.dispatch;

import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.request.CompletionExchange;

/** A completion between its first dispatch and its end. Confined to the control thread. */
final class RunningCompletion {

    private final CompletionExchange exchange;
    private final Instant startedAt;
    private final Set<TargetId> excluded = new HashSet<>();
    private final Set<EngineLoss> lossesSeen = new HashSet<>();
    private int attempts;
    private EngineAttempt current;
    private EngineAttempt hedge;
    private EngineLoss investigated;
    private TargetId suspectTarget;

    RunningCompletion(CompletionExchange exchange, Instant startedAt) {
        this.exchange = exchange;
        this.startedAt = startedAt;
    }

    /** A run of an engine that was lost under this request. */
    record EngineLoss(TargetId target, EngineIncarnation incarnation) {}

    CompletionExchange exchange() {
        return exchange;
    }

    Instant startedAt() {
        return startedAt;
    }

    Set<TargetId> excluded() {
        return excluded;
    }

    int attempts() {
        return attempts;
    }

    EngineAttempt current() {
        return current;
    }

    /** Returns the second attempt that runs beside the current one, or null. */
    EngineAttempt hedge() {
        return hedge;
    }

    boolean runs(EngineAttempt attempt) {
        return attempt != null && (attempt == current || attempt == hedge);
    }

    void begin(EngineAttempt attempt) {
        attempts++;
        current = attempt;
    }

    void beginHedge(EngineAttempt attempt) {
        attempts++;
        hedge = attempt;
    }

    /** Removes an attempt; the other one, if there is one, becomes the current one. */
    void end(EngineAttempt attempt) {
        if (attempt == current) {
            current = hedge;
        }
        hedge = null;
    }

    void lost(TargetId target, EngineIncarnation incarnation) {
        lossesSeen.add(new EngineLoss(target, incarnation));
    }

    boolean sawLoss() {
        return !lossesSeen.isEmpty();
    }

    /** Notes that the request broke on an engine that may be lost. */
    void suspected(EngineAttempt attempt) {
        investigated = new EngineLoss(attempt.target().id(), attempt.incarnation());
    }

    /** Returns whether the request runs or broke last on this run of an engine. */
    boolean wasOn(TargetId target, EngineIncarnation incarnation) {
        if (current != null) {
            return current.target().id().equals(target)
                    && current.incarnation().equals(incarnation);
        }
        return new EngineLoss(target, incarnation).equals(investigated);
    }

    /** Notes that the request runs as a suspect on a target. */
    void suspectOn(TargetId target) {
        suspectTarget = target;
    }

    /** Returns and clears the target that the request runs on as a suspect. */
    Optional<TargetId> takeSuspectTarget() {
        Optional<TargetId> taken = Optional.ofNullable(suspectTarget);
        suspectTarget = null;
        return taken;
    }
}
