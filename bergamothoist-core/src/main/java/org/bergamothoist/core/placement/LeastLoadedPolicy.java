package org.bergamothoist.core.placement;

import java.util.Comparator;
import java.util.Optional;

/** Baseline policy: chooses the eligible target with the least known load. */
public final class LeastLoadedPolicy implements PlacementPolicy {

    @Override
    public Optional<PlacementDecision> choose(PlacementRequest request, PlacementView view) {
        LoadEstimator load = view.load();
        return BaselinePolicies.allowedTargets(request, view).stream()
                .min(
                        Comparator.comparingDouble(load::queueingSeconds)
                                .thenComparingInt(load::streams))
                .map(target -> BaselinePolicies.decision(target, request, view));
    }
}
