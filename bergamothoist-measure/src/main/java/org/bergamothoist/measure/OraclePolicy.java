package org.bergamothoist.measure;

import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import org.bergamothoist.core.placement.PlacementDecision;
import org.bergamothoist.core.placement.PlacementPolicy;
import org.bergamothoist.core.placement.PlacementRequest;
import org.bergamothoist.core.placement.PlacementView;
import org.bergamothoist.core.placement.PlacementWeights;

/** Minimises the product's cost with the true cache and queue of every engine. */
final class OraclePolicy implements PlacementPolicy {

    private final Collection<FakeEngine> engines;
    private final PlacementWeights weights;

    OraclePolicy(Collection<FakeEngine> engines, PlacementWeights weights) {
        this.engines = engines;
        this.weights = weights;
    }

    @Override
    public Optional<PlacementDecision> choose(PlacementRequest request, PlacementView view) {
        FakeEngine best = null;
        double bestCost = Double.MAX_VALUE;
        for (FakeEngine engine : engines) {
            if (!engine.alive() || request.excluded().contains(engine.id())) {
                continue;
            }
            int matched = engine.matchedWhenQueueComputed(request.chain());
            double prefill = engine.prefillSeconds(request.chain().uncachedTokens(matched));
            double cost = weights.cost(engine.queueingSeconds(), prefill);
            if (cost < bestCost) {
                best = engine;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best).map(engine -> decision(engine, request));
    }

    private static PlacementDecision decision(FakeEngine engine, PlacementRequest request) {
        return new PlacementDecision(
                engine.id(),
                engine.matchedWhenQueueComputed(request.chain()),
                Duration.ofMillis(Math.round(engine.queueingSeconds() * 1000)),
                false);
    }
}
