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
        int maximumHolders,
        int preferredTargets,
        int maximumPreferredTargets,
        int randomTargets,
        Duration maximumQueueingDelay,
        int importTokensPerSecond) {

    private static final int DEFAULT_MAXIMUM_HOLDERS = 8;
    private static final int DEFAULT_PREFERRED_TARGETS = 2;
    private static final int DEFAULT_MAXIMUM_PREFERRED_TARGETS = 8;
    private static final int DEFAULT_RANDOM_TARGETS = 2;
    private static final Duration DEFAULT_MAXIMUM_QUEUEING_DELAY = Duration.ofSeconds(4);

    public PlacementSettings {
        Objects.requireNonNull(weights);
        Objects.requireNonNull(maximumQueueingDelay);
        if (maximumHolders < 1
                || preferredTargets < 1
                || maximumPreferredTargets < preferredTargets
                || randomTargets < 0) {
            throw new IllegalArgumentException("numbers of candidates are out of range");
        }
    }

    /** Returns the standard settings with the given weights and no KV cache store. */
    public static PlacementSettings standard(PlacementWeights weights) {
        return new PlacementSettings(
                weights,
                DEFAULT_MAXIMUM_HOLDERS,
                DEFAULT_PREFERRED_TARGETS,
                DEFAULT_MAXIMUM_PREFERRED_TARGETS,
                DEFAULT_RANDOM_TARGETS,
                DEFAULT_MAXIMUM_QUEUEING_DELAY,
                0);
    }
}
