package org.bergamothoist.core.rollout;

import java.time.Duration;

/**
 * Limits of rollouts.
 *
 * @param maximumShareLoading share of a model's engines that may load at once, from 0 to 1; the
 *     others have to carry the load meanwhile
 * @param shareOfLimitToUse share of the longest time on outdated weights within which a rollout is
 *     planned to end, from 0 to 1; the rest covers a change of the lease's holder
 * @param busyQueueing average predicted queueing time per engine above which fewer engines load at
 *     once
 */
public record RolloutSettings(
        double maximumShareLoading, double shareOfLimitToUse, Duration busyQueueing) {

    /** Loads of one model that may always run at once, however few engines there are. */
    static final int MINIMUM_CONCURRENT_LOADS = 2;

    /** Values of all deployments; the settings file has no keys for them. */
    public static final RolloutSettings DEFAULT =
            new RolloutSettings(0.25, 0.8, Duration.ofMillis(250));

    public RolloutSettings {
        checkShare("maximumShareLoading", maximumShareLoading);
        checkShare("shareOfLimitToUse", shareOfLimitToUse);
        if (busyQueueing.isNegative() || busyQueueing.isZero()) {
            throw new IllegalArgumentException("busyQueueing must be above 0: " + busyQueueing);
        }
    }

    private static void checkShare(String name, double share) {
        if (!(share > 0 && share <= 1)) {
            throw new IllegalArgumentException(name + " must be above 0 and at most 1: " + share);
        }
    }
}
