package org.bergamothoist.core.placement;

import java.util.List;
import java.util.Optional;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.prompt.BlockHashChain;

/** Baseline policy: chooses by consistent hashing of the prompt's first block. */
public final class FirstBlockHashPolicy implements PlacementPolicy {

    @Override
    public Optional<PlacementDecision> choose(PlacementRequest request, PlacementView view) {
        List<TargetId> targets = BaselinePolicies.allowedTargets(request, view);
        if (targets.isEmpty()) {
            return Optional.empty();
        }
        BlockHashChain chain = request.chain();
        long key = chain.length() > 0 ? chain.hash(0) : request.organisation().hashCode();
        EligibleTargets eligible = view.eligible(request.modelKey());
        return eligible.preferredTargets(key, eligible.targets().size()).stream()
                .filter(targets::contains)
                .findFirst()
                .map(target -> BaselinePolicies.decision(target, request, view));
    }
}
