package org.bergamothoist.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.bergamothoist.core.identity.TargetId;

/** Baseline policy: chooses an eligible target at random. */
public final class RandomPolicy implements PlacementPolicy {

    private final RandomGenerator random;

    /** Creates a policy that draws from the given generator. */
    public RandomPolicy(RandomGenerator random) {
        this.random = random;
    }

    @Override
    public Optional<PlacementDecision> choose(PlacementRequest request, PlacementView view) {
        List<TargetId> targets = BaselinePolicies.allowedTargets(request, view);
        if (targets.isEmpty()) {
            return Optional.empty();
        }
        TargetId target = targets.get(random.nextInt(targets.size()));
        return Optional.of(BaselinePolicies.decision(target, request, view));
    }
}
