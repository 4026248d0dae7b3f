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
    private static final double OTHERS_WEIGHT = 2.0;

    /**
     * Time for which a prefix that was computed at a further target counts as kept there. Requests
     * that will use it share its cost to others.
     */
    private static final double KEPT_SECONDS = 3.0;

    /** Weight of the predicted delay of later streams at a target that is almost full. */
    private static final double FULLNESS_WEIGHT = 0.7;

    /**
     * Free places below which a target does not count as fuller; their number is not known well.
     */
    private static final double LEAST_FREE_PLACES = 3.0;

    /** Weight of the prefill that another daemon does a second time. */
    private static final double DUPLICATE_WEIGHT = 2.0;

    /** Usual time until all daemons know that a target has computed a prefix. */
    private static final double KNOWLEDGE_SECONDS = 2.0;

    private static final double MILLISECONDS_PER_SECOND = 1000.0;

    private final PlacementWeights weights;
    private final LoadView load;
    private final double arrivalsPerSecond;
    private final double requestsPerSecond;
    private final Optional<TargetId> nextHome;

    /**
     * Creates the cost of a request's candidates.
     *
     * @param arrivalsPerSecond requests that each target usually gets in a second
     * @param requestsPerSecond requests for the prefix in a second, from all daemons
     * @param nextHome the home that the daemons agree to compute the prefix at next
     */
    PlacementCost(
            PlacementWeights weights,
            LoadView load,
            double arrivalsPerSecond,
            double requestsPerSecond,
            Optional<TargetId> nextHome) {
        this.weights = weights;
        this.load = load;
        this.arrivalsPerSecond = arrivalsPerSecond;
        this.requestsPerSecond = requestsPerSecond;
        this.nextHome = nextHome;
    }

    /**
     * Returns the cost of the target.
     *
     * @param queueing predicted seconds until the prompt is computed
     * @param prefill predicted seconds to compute the part of the prompt that is not cached
     */
    double of(TargetId target, double queueing, double prefill) {
        double own = weights.tailLatency() * (queueing + prefill);
        return own + costToOthers(prefill) + fullness(target) + duplicate(target, prefill);
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

    /**
     * Returns the cost of taking one of the target's last places, by Sakasegawa's approximation of
     * the waiting time in a queue with many servers. It spreads hot prefixes before a target is
     * full.
     */
    private double fullness(TargetId target) {
        int places = load.settings().streamsPerTarget();
        double used = Math.min(1, (double) load.streams(target) / places);
        double free = Math.max(1 - used, LEAST_FREE_PLACES / places);
        double seconds = load.settings().streamDuration().toMillis() / MILLISECONDS_PER_SECOND;
        double wait = Math.pow(used, Math.sqrt(2.0 * (places + 1)) - 1) * seconds / places / free;
        return FULLNESS_WEIGHT * weights.tailLatency() * wait;
    }

    /**
     * Returns the cost of computing a prefix elsewhere than at its next home: another daemon that
     * gets a request for it, before it knows, computes it at the home as well.
     */
    private double duplicate(TargetId target, double prefill) {
        if (nextHome.isEmpty() || nextHome.get().equals(target)) {
            return 0;
        }
        double probability = 1 - Math.exp(-requestsPerSecond * KNOWLEDGE_SECONDS);
        return DUPLICATE_WEIGHT * probability * weights.cost(0, prefill);
    }
}
