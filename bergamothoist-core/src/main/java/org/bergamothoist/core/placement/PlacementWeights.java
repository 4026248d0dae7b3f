package org.bergamothoist.core.placement;

/**
 * Weighs the measures of a deployment.
 *
 * @param tailLatency weight of a second of predicted time to first token
 * @param recomputation weight of a second of prefill that a cache hit would have saved
 */
public record PlacementWeights(double tailLatency, double recomputation) {

    /** Brunner weighs the tail of the time to first token most. */
    public static final PlacementWeights BRUNNER = new PlacementWeights(1.0, 0.5);

    /** Al-Harthy weighs wasted recomputation and hit rate most. */
    public static final PlacementWeights AL_HARTHY = new PlacementWeights(0.6, 1.2);

    public PlacementWeights {
        if (tailLatency < 0 || recomputation < 0 || tailLatency + recomputation <= 0) {
            throw new IllegalArgumentException("weights must be non-negative and not all zero");
        }
    }

    /**
     * Returns the request's own cost in weighted seconds.
     *
     * @param queueingSeconds predicted time until the prompt is computed
     * @param prefillSeconds predicted time to compute the part of the prompt that is not cached
     */
    public double cost(double queueingSeconds, double prefillSeconds) {
        return tailLatency * (queueingSeconds + prefillSeconds) + recomputation * prefillSeconds;
    }
}
