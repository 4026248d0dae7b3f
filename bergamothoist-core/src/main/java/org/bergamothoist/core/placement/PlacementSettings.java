package org.bergamothoist.core.placement;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of {@link PrefixAwarePolicy}.
 *
 * @param holders most targets taken from the index for one request
 * @param homes homes of a prefix that is not hot
 * @param maximumHomes homes of the hottest prefix
 * @param randomTargets random candidates for one request
 * @param maximumQueueingDelay a target whose predicted queueing delay is longer has no room
 * @param importTokensPerSecond rate at which engines import blocks from the KV cache store, 0 if
 *     there is no store
 */
public record PlacementSettings(
        PlacementWeights weights,
        int holders,
        int homes,
        int maximumHomes,
        int randomTargets,
        Duration maximumQueueingDelay,
        int importTokensPerSecond) {

    private static final int DEFAULT_HOLDERS = 8;
    private static final int DEFAULT_HOMES = 2;
    private static final int DEFAULT_MAXIMUM_HOMES = 8;
    private static final int DEFAULT_RANDOM_TARGETS = 2;
    private static final Duration DEFAULT_MAXIMUM_DELAY = Duration.ofSeconds(4);

    public PlacementSettings {
        Objects.requireNonNull(weights);
        Objects.requireNonNull(maximumQueueingDelay);
        if (holders < 1 || homes < 1 || maximumHomes < homes || randomTargets < 0) {
            throw new IllegalArgumentException("numbers of candidates are out of range");
        }
    }

    /** Returns the standard settings with the given weights and no KV cache store. */
    public static PlacementSettings standard(PlacementWeights weights) {
        return new PlacementSettings(
                weights,
                DEFAULT_HOLDERS,
                DEFAULT_HOMES,
                DEFAULT_MAXIMUM_HOMES,
                DEFAULT_RANDOM_TARGETS,
                DEFAULT_MAXIMUM_DELAY,
                0);
    }
}
