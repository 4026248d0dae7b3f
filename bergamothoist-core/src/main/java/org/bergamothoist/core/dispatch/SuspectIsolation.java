package org.bergamothoist.core.dispatch;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.identity.TargetId;

/**
 * Sees to it that an engine runs at most one suspect, of this or any other daemon, at a time.
 * Confined to the control thread.
 */
final class SuspectIsolation {

    private final EngineReservation reservation;
    private final Set<TargetId> occupied = new HashSet<>();

    SuspectIsolation(EngineReservation reservation) {
        this.reservation = reservation;
    }

    /** Returns whether an engine runs, or is reserved for, a suspect of any daemon. */
    boolean runsSuspect(TargetId target) {
        return occupied.contains(target) || reservation.reservedByOther(target);
    }

    /** Occupies an engine; completes with whether the completion may be sent to it. */
    CompletionStage<Boolean> occupy(RunningCompletion completion, TargetId target) {
        occupied.add(target);
        completion.suspectOn(target);
        return reservation.reserve(target);
    }

    /** Frees the engine that the completion occupies, if any. */
    void free(RunningCompletion completion) {
        completion
                .takeSuspectTarget()
                .ifPresent(
                        target -> {
                            occupied.remove(target);
                            reservation.release(target);
                        });
    }

    /** Gives back a reservation that was confirmed after the completion had ended. */
    void freeUnused(TargetId target) {
        if (!occupied.contains(target)) {
            reservation.release(target);
        }
    }
}
