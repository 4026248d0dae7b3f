package org.bergamothoist.core.placement;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of {@link PrefixAwarePolicy}.
 *
 * @param maximumHolders maximum number of candidates that the cache index names as holders of the
 *     prefix
 * @param preferredTargets number of preferred targets (on the consistent-hashing ring) of a prefix
 *     that is not hot
 * @param maximumPreferredTargets upper bound of the preferred targets of a hot prefix
 * @param randomTargets number of random candidates per request
 * @param maximumQueueingDelay longest acceptable predicted queueing delay; a target above it gets
 *     no new request
 * @param importTokensPerSecond rate at which engines import blocks from the KV cache store; 0 if
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
            throw new IllegalArgumentException(
                    "numbers of candidates are out of range: "
                            + maximumHolders
                            + " holders, "
                            + preferredTargets
                            + " to "
                            + maximumPreferredTargets
                            + " preferred targets, "
                            + randomTargets
                            + " random targets");
        }
    }

    /** Returns the default settings with the given weights and no KV cache store. */
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
