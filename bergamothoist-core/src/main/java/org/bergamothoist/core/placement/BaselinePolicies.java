package org.bergamothoist.core.placement;

import java.util.List;
import org.bergamothoist.core.identity.TargetId;

/** Helpers shared by the baseline policies. */
final class BaselinePolicies {

    private BaselinePolicies() {}

    /**
     * Returns the eligible targets that may get the request. Scans all of them, so the cost grows
     * with the number of targets.
     */
    static List<TargetId> allowedTargets(PlacementRequest request, PlacementView view) {
        return view.eligible(request.modelKey()).targets().stream()
                .filter(target -> request.allows(target, view))
                .toList();
    }

    static PlacementDecision decision(
            TargetId target, PlacementRequest request, PlacementView view) {
        return new PlacementDecision(
                target,
                view.index().matchedBlocks(target, request.chain()),
                view.load().queueingDelay(target),
                false);
    }
}
