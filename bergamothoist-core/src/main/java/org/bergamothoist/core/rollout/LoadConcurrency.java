package org.bergamothoist.core.rollout;

import java.time.Duration;

/**
 * Decides how many engines load new weights at once.
 *
 * <p>Loads that slow each other down gain nothing, and engines that load carry no requests. Both
 * limits give way where the time limit for outdated weights would be missed otherwise.
 */
public final class LoadConcurrency {

    private final RolloutSettings settings;
    private final LoadTimeEstimator loadTimes;

    /** Creates a decision that follows the estimator's current values. */
    public LoadConcurrency(RolloutSettings settings, LoadTimeEstimator loadTimes) {
        this.settings = settings;
        this.loadTimes = loadTimes;
    }

    /**
     * State of a rollout.
     *
     * @param engines number of engines that have the models of the rollout
     * @param outdatedEngines number of these that have outdated weights and can be ordered to load
     * @param timePerLoad time that one engine is expected to be out of use for its load
     * @param timeLeft time until the first outdated engine may start no more requests
     * @param busy whether the engines are too busy to meet latency objectives
     */
    public record Situation(
            int engines,
            int outdatedEngines,
            Duration timePerLoad,
            Duration timeLeft,
            boolean busy) {}

    /** Returns the maximum number of engines in preparation or loading. */
    public int maximumLoads(Situation situation) {
        int share = (int) Math.floor(situation.engines() * settings.maximumShareLoading());
        int maximum = Math.max(RolloutSettings.MINIMUM_CONCURRENT_LOADS, share);
        int fast = loadTimes.fastConcurrency(maximum);
        int chosen = situation.busy() ? Math.max(1, fast / 2) : fast;
        return Math.max(chosen, Math.min(maximum, requiredLoads(situation)));
    }

    /** Returns the number of concurrent loads at which the rollout ends within its time. */
    private int requiredLoads(Situation situation) {
        double milliseconds = situation.timeLeft().toMillis() * settings.shareOfLimitToUse();
        double rounds = Math.floor(milliseconds / Math.max(1, situation.timePerLoad().toMillis()));
        if (rounds < 1) {
            return situation.outdatedEngines();
        }
        return (int) Math.ceil(situation.outdatedEngines() / rounds);
    }
}
