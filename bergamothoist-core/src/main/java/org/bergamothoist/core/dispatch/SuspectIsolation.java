package org.bergamothoist.core.dispatch;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.identity.TargetId;

/**
 * Ensures that an engine runs at most one suspect request at a time, of this or any other daemon,
 * so that the loss of an engine identifies the content that caused it. Confined to the control
 * thread.
 */
final class SuspectIsolation {

    private final EngineReservation reservation;
    private final Set<TargetId> enginesWithSuspect = new HashSet<>();

    SuspectIsolation(EngineReservation reservation) {
        this.reservation = reservation;
    }

    /** Returns whether an engine runs, or is reserved for, a suspect request of any daemon. */
    boolean runsSuspect(TargetId target) {
        return enginesWithSuspect.contains(target) || reservation.isReservedByOtherDaemon(target);
    }

    /** Reserves an engine; completes with whether the completion may be sent to it. */
    CompletionStage<Boolean> reserve(RunningCompletion completion, TargetId target) {
        enginesWithSuspect.add(target);
        completion.setSuspectTarget(target);
        return reservation.reserve(target);
    }

    /** Releases the engine that is reserved for the completion, if any. */
    void release(RunningCompletion completion) {
        completion
                .takeSuspectTarget()
                .ifPresent(
                        target -> {
                            enginesWithSuspect.remove(target);
                            reservation.release(target);
                        });
    }

    /** Releases a reservation that was granted after its completion had ended. */
    void releaseIfUnused(TargetId target) {
        if (!enginesWithSuspect.contains(target)) {
            reservation.release(target);
        }
    }
}
