package org.bergamothoist.core.placement;

import java.util.Optional;
import org.bergamothoist.core.identity.TargetId;

/** Computes the cost of candidates for one request, in weighted seconds. */
final class PlacementCost {

    /**
     * Weight of the delay that a prefill adds to other requests. It is above 1 because a prefill
     * also evicts blocks that others must compute again. With 0.1 the measured deployments fall
     * into a state in which most requests are recomputed.
     */
    private static final double INTERFERENCE_WEIGHT = 2.0;

    /**
     * Time for which a prefix that was computed at a further target counts as kept there. Requests
     * that will use it share its cost to others.
     */
    private static final double PREFIX_REUSE_SECONDS = 3.0;

    /** Weight of the predicted delay of later streams at a target that is almost full. */
    private static final double CONTENTION_WEIGHT = 0.7;

    /**
     * Free places below which a target does not count as fuller; their number is not known well.
     */
    private static final double MINIMUM_FREE_STREAMS = 3.0;

    /** Weight of the prefill that another daemon does a second time. */
    private static final double DUPLICATE_PREFILL_WEIGHT = 2.0;

    /** Usual time until all daemons know that a target has computed a prefix. */
    private static final double INDEX_PROPAGATION_SECONDS = 2.0;

    private static final double MILLISECONDS_PER_SECOND = 1000.0;

    private final PlacementWeights weights;
    private final LoadEstimator load;
    private final double arrivalsPerTargetPerSecond;
    private final double prefixRequestsPerSecond;
    private final Optional<TargetId> nextPreferredTarget;

    /**
     * Creates the cost of a request's candidates.
     *
     * @param arrivalsPerSecond requests that each target usually gets in a second
     * @param requestsPerSecond requests for the prefix in a second, from all daemons
     * @param nextHome the home that the daemons agree to compute the prefix at next
     */
    PlacementCost(
            PlacementWeights weights,
            LoadEstimator load,
            double arrivalsPerTargetPerSecond,
            double prefixRequestsPerSecond,
            Optional<TargetId> nextPreferredTarget) {
        this.weights = weights;
        this.load = load;
        this.arrivalsPerTargetPerSecond = arrivalsPerTargetPerSecond;
        this.prefixRequestsPerSecond = prefixRequestsPerSecond;
        this.nextPreferredTarget = nextPreferredTarget;
    }

    /**
     * Returns the cost of the target.
     *
     * @param queueing predicted seconds until the prompt is computed
     * @param prefill predicted seconds to compute the part of the prompt that is not cached
     */
    double of(TargetId target, double queueingSeconds, double prefillSeconds) {
        double ownCost = weights.tailLatency() * (queueingSeconds + prefillSeconds);
        return ownCost
                + interferenceCost(prefillSeconds)
                + contentionCost(target)
                + duplicatePrefillCost(target, prefillSeconds);
    }

    /**
     * Returns the cost of the recomputation and of the delay of others: each of the {@code arrivals
     * × prefill} requests that arrive meanwhile waits half of the prefill longer on average.
     */
    private double interferenceCost(double prefillSeconds) {
        double othersDelay =
                INTERFERENCE_WEIGHT
                        * arrivalsPerTargetPerSecond
                        * prefillSeconds
                        * prefillSeconds
                        / 2;
        double cost =
                weights.recomputation() * prefillSeconds + weights.tailLatency() * othersDelay;
        return cost / (1 + prefixRequestsPerSecond * PREFIX_REUSE_SECONDS);
    }

    /**
     * Returns the cost of taking one of the target's last places, by Sakasegawa's approximation of
     * the waiting time in a queue with many servers. It spreads hot prefixes before a target is
     * full.
     */
    private double contentionCost(TargetId target) {
        int streamCapacity = load.settings().streamsPerTarget();
        double utilisation = Math.min(1, (double) load.streams(target) / streamCapacity);
        double freeShare = Math.max(1 - utilisation, MINIMUM_FREE_STREAMS / streamCapacity);
        double streamSeconds =
                load.settings().streamDuration().toMillis() / MILLISECONDS_PER_SECOND;
        double waitSeconds =
                Math.pow(utilisation, Math.sqrt(2.0 * (streamCapacity + 1)) - 1)
                        * streamSeconds
                        / streamCapacity
                        / freeShare;
        return CONTENTION_WEIGHT * weights.tailLatency() * waitSeconds;
    }

    /**
     * Returns the cost of computing a prefix elsewhere than at its next home: another daemon that
     * gets a request for it, before it knows, computes it at the home as well.
     */
    private double duplicatePrefillCost(TargetId target, double prefillSeconds) {
        if (nextPreferredTarget.isEmpty() || nextPreferredTarget.get().equals(target)) {
            return 0;
        }
        double probability = 1 - Math.exp(-prefixRequestsPerSecond * INDEX_PROPAGATION_SECONDS);
        return DUPLICATE_PREFILL_WEIGHT * probability * weights.cost(0, prefillSeconds);
    }
}
