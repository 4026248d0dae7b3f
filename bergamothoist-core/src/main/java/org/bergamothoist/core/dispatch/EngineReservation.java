package org.bergamothoist.core.dispatch;

import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.identity.TargetId;

/**
 * Reserves engines across daemons for suspect requests, whose content was on an engine that was
 * lost: an engine that one daemon has reserved runs no suspect request of another. Confined to the
 * control thread.
 */
public interface EngineReservation {

    /** Returns whether another daemon has reserved the engine for a suspect request. */
    boolean isReservedByOtherDaemon(TargetId target);

    /** Reserves the engine; completes with whether this daemon may send it a suspect request. */
    CompletionStage<Boolean> reserve(TargetId target);

    /** Ends the reservation. */
    void release(TargetId target);
}
