package org.bergamothoist.core.placement;

/**
 * Weights of latency and recomputation in the placement cost.
 *
 * @param tailLatency weight of each second of predicted time to first token
 * @param recomputation weight of each second of prefill that a cache hit would have saved
 */
public record PlacementWeights(double tailLatency, double recomputation) {

    /**
     * Weights of the Brunner deployment, where the tail of the time to first token matters most.
     */
    public static final PlacementWeights BRUNNER = new PlacementWeights(1.0, 0.5);

    /**
     * Weights of the Al-Harthy deployment, where wasted recomputation and the hit rate matter most.
     */
    public static final PlacementWeights AL_HARTHY = new PlacementWeights(0.6, 1.2);

    public PlacementWeights {
        if (tailLatency < 0 || recomputation < 0 || tailLatency + recomputation <= 0) {
            throw new IllegalArgumentException(
                    "weights must be non-negative and not all zero: tail latency "
                            + tailLatency
                            + ", recomputation "
                            + recomputation);
        }
    }

    /**
     * Returns the request's own cost in weighted seconds.
     *
     * @param queueingSeconds predicted time until the target starts to compute the prompt
     * @param prefillSeconds predicted time to compute the uncached part of the prompt
     */
    public double cost(double queueingSeconds, double prefillSeconds) {
        return tailLatency * (queueingSeconds + prefillSeconds) + recomputation * prefillSeconds;
    }
}
