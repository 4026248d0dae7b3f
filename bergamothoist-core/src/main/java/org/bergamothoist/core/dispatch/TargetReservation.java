package org.bergamothoist.core.dispatch;

import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.identity.TargetId;

/**
 * Reserves targets across daemons for suspect requests, whose content was on a target that was
 * lost: a target that one daemon has reserved runs no suspect request of another. Confined to the
 * control thread.
 */
public interface TargetReservation {

    /** Returns whether another daemon has reserved the target for a suspect request. */
    boolean isReservedByOtherDaemon(TargetId target);

    /** Reserves the target; completes with whether this daemon may send it a suspect request. */
    CompletionStage<Boolean> reserve(TargetId target);

    /** Ends the reservation. */
    void release(TargetId target);
}
