package org.bergamothoist.core.placement;

import java.util.Optional;
import org.bergamothoist.core.identity.TargetId;

/** Computes the cost of placing one request at a candidate target, in weighted seconds. */
final class PlacementCost {

    /**
     * Weight of the delay that a prefill adds to other requests. It is above 1 because a prefill
     * also evicts blocks that others must recompute. With 0.1 the measured deployments degrade to a
     * state in which most requests are recomputed.
     */
    private static final double INTERFERENCE_WEIGHT = 2.0;

    /**
     * Time in seconds for which a prefix is assumed to stay cached at an additional target. The
     * interference cost is divided among the requests expected to reuse it in that time.
     */
    private static final double PREFIX_REUSE_SECONDS = 3.0;

    /** Weight of the predicted delay of later streams at an almost full target. */
    private static final double CONTENTION_WEIGHT = 0.7;

    /**
     * Lower bound of the free stream slots in the estimate; smaller numbers are not known
     * accurately.
     */
    private static final double MINIMUM_FREE_STREAMS = 3.0;

    /** Weight of a prefill that another daemon is likely to repeat. */
    private static final double DUPLICATE_PREFILL_WEIGHT = 2.0;

    /** Typical time in seconds until all daemons know that a target has computed a prefix. */
    private static final double INDEX_PROPAGATION_SECONDS = 2.0;

    private static final double MILLISECONDS_PER_SECOND = 1000.0;

    private final PlacementWeights weights;
    private final LoadEstimator load;
    private final double arrivalsPerTargetPerSecond;
    private final double prefixRequestsPerSecond;
    private final Optional<TargetId> nextPreferredTarget;

    /**
     * Creates the cost function of one request.
     *
     * @param arrivalsPerTargetPerSecond average requests per second at each target
     * @param prefixRequestsPerSecond requests per second for the prefix, from all daemons
     * @param nextPreferredTarget the preferred target at which all daemons would compute the prefix
     *     next
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
     * Returns the cost of placing the request at the target.
     *
     * @param queueingSeconds predicted time until the target starts to compute the prompt
     * @param prefillSeconds predicted time to compute the uncached part of the prompt
     */
    double of(TargetId target, double queueingSeconds, double prefillSeconds) {
        double ownCost = weights.tailLatency() * (queueingSeconds + prefillSeconds);
        return ownCost
                + interferenceCost(prefillSeconds)
                + contentionCost(target)
                + duplicatePrefillCost(target, prefillSeconds);
    }

    /**
     * Returns the cost of the recomputation and of the delay it causes to other requests: each of
     * the {@code arrivals × prefill} requests that arrive during the prefill waits half of it
     * longer on average.
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
     * Returns the cost of occupying a stream slot at a busy target, by Sakasegawa's approximation
     * of the waiting time in a multi-server queue. It spreads hot prefixes before a target is full.
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
     * Returns the cost of computing a prefix elsewhere than at its next preferred target: until
     * another daemon learns of it, that daemon would have the prefix computed at the preferred
     * target as well.
     */
    private double duplicatePrefillCost(TargetId target, double prefillSeconds) {
        if (nextPreferredTarget.isEmpty() || nextPreferredTarget.get().equals(target)) {
            return 0;
        }
        double probability = 1 - Math.exp(-prefixRequestsPerSecond * INDEX_PROPAGATION_SECONDS);
        return DUPLICATE_PREFILL_WEIGHT * probability * weights.cost(0, prefillSeconds);
    }
}
