package org.bergamothoist.core.dispatch;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.identity.TargetId;

/**
 * Ensures that a target runs at most one suspect request at a time, of this or any other daemon, so
 * that the loss of a target identifies the content that caused it. Confined to the control thread.
 */
final class SuspectIsolation {

    private final TargetReservation reservation;
    private final Set<TargetId> targetsWithSuspect = new HashSet<>();

    SuspectIsolation(TargetReservation reservation) {
        this.reservation = reservation;
    }

    /** Returns whether a target runs, or is reserved for, a suspect request of any daemon. */
    boolean runsSuspect(TargetId target) {
        return targetsWithSuspect.contains(target) || reservation.isReservedByOtherDaemon(target);
    }

    /** Reserves a target; completes with whether a suspect request may be sent to it. */
    CompletionStage<Boolean> reserve(TargetId target) {
        targetsWithSuspect.add(target);
        return reservation.reserve(target);
    }

    /** Releases a target that was reserved. */
    void release(TargetId target) {
        targetsWithSuspect.remove(target);
        reservation.release(target);
    }

    /** Releases a reservation that was granted after its request had ended. */
    void releaseIfUnused(TargetId target) {
        if (!targetsWithSuspect.contains(target)) {
            reservation.release(target);
        }
    }
}
