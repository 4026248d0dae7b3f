package org.bergamothoist.core.dispatch;

import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.identity.TargetId;

/**
 * Keeps suspects of different daemons apart: an engine that one daemon has reserved runs no suspect
 * of another. Confined to the control thread.
 */
public interface EngineReservation {

    /** Returns whether another daemon has reserved the engine for a suspect. */
    boolean reservedByOther(TargetId target);

    /** Reserves the engine; completes with whether a suspect of this daemon may be sent to it. */
    CompletionStage<Boolean> reserve(TargetId target);

    /** Ends the reservation. */
    void release(TargetId target);
}
