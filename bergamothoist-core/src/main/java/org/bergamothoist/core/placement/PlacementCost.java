package org.bergamothoist.core.placement;

import org.bergamothoist.core.identity.TargetId;

/** Computes the cost of candidates for one request, in weighted seconds. */
final class PlacementCost {

    /**
     * Weight of the delay that a prefill adds to other requests. It is above 1 because a prefill
     * also evicts blocks that others must compute again. With 0.1 the measured deployments fall
     * into a state in which most requests are recomputed.
     */
    private static final double OTHERS_WEIGHT = 2.0;

    /**
     * Time for which a prefix that was computed at a further target counts as kept there. Requests
     * that will use it share its cost to others.
     */
    private static final double KEPT_SECONDS = 3.0;

    private final PlacementWeights weights;
    private final double arrivalsPerSecond;
    private final double requestsPerSecond;

    /**
     * Creates the cost of a request's candidates.
     *
     * @param arrivalsPerSecond requests that each target usually gets in a second
     * @param requestsPerSecond requests for the prefix in a second, from all daemons
     */
    PlacementCost(
            PlacementWeights weights,
            LoadView load,
            double arrivalsPerSecond,
            double requestsPerSecond) {
        this.weights = weights;
        this.arrivalsPerSecond = arrivalsPerSecond;
        this.requestsPerSecond = requestsPerSecond;
    }

    /**
     * Returns the cost of the target.
     *
     * @param queueing predicted seconds until the prompt is computed
     * @param prefill predicted seconds to compute the part of the prompt that is not cached
     */
    double of(TargetId target, double queueing, double prefill) {
        double own = weights.tailLatency() * (queueing + prefill);
        return own + costToOthers(prefill);
    }

    /**
     * Returns the cost of the recomputation and of the delay of others: each of the {@code arrivals
     * × prefill} requests that arrive meanwhile waits half of the prefill longer on average.
     */
    private double costToOthers(double prefill) {
        double delay = OTHERS_WEIGHT * arrivalsPerSecond * prefill * prefill / 2;
        double cost = weights.recomputation() * prefill + weights.tailLatency() * delay;
        return cost / (1 + requestsPerSecond * KEPT_SECONDS);
    }
}
