package org.bergamothoist.core.placement;

import java.util.Optional;

/** Chooses the engine that gets a request. */
@FunctionalInterface
public interface PlacementPolicy {

    /** Returns the choice, or empty if no eligible target has room. */
    Optional<PlacementDecision> choose(PlacementRequest request, PlacementView view);
}
