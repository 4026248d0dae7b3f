package org.bergamothoist.core.placement;

import java.util.Optional;

/** Chooses the target that a request is dispatched to. */
@FunctionalInterface
public interface PlacementPolicy {

    /** Returns the choice, or empty if no eligible target can take the request now. */
    Optional<PlacementDecision> choose(PlacementRequest request, PlacementView view);
}
