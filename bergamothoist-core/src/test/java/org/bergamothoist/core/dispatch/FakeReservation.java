package org.bergamothoist.core.dispatch;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.identity.TargetId;

/** Reservations that the test gives to another daemon. */
final class FakeReservation implements EngineReservation {

    /** Engines that another daemon has reserved, though this one does not know it yet. */
    final Set<TargetId> refused = new HashSet<>();

    /** Engines that this daemon has reserved. */
    final Set<TargetId> held = new HashSet<>();

    @Override
    public boolean reservedByOther(TargetId target) {
        return false;
    }

    @Override
    public CompletionStage<Boolean> reserve(TargetId target) {
        boolean granted = !refused.contains(target);
        if (granted) {
            held.add(target);
        }
        return CompletableFuture.completedFuture(granted);
    }

    @Override
    public void release(TargetId target) {
        held.remove(target);
    }
}
