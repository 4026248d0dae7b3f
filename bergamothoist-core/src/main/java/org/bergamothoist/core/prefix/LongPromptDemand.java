package org.bergamothoist.core.prefix;

import java.time.Duration;
import java.time.Instant;
import org.bergamothoist.core.fleet.OutstandingWork;

/**
 * Estimates how many engines the long prompts of all daemons keep busy: this daemon's own, times
 * the ratio of all outstanding prefill to its own as the reports show it. Confined to the control
 * thread.
 */
final class LongPromptDemand {

    /** Time over which the demand is averaged; shorter than the load's usual swings. */
    private static final double AVERAGING_MILLISECONDS = 4_000;

    private final Instant startedAt;
    private Instant updatedAt;
    private double weightedMilliseconds;
    private double ownOutstanding;
    private double allOutstanding;
    private long ownMemoryTokens;
    private double averageOwnMemoryTokens;

    LongPromptDemand(Instant startedAt) {
        this.startedAt = startedAt;
        this.updatedAt = startedAt;
    }

    /** Records that this daemon sends a long prompt to an engine. */
    void onDispatched(double prefillMilliseconds, long memoryTokens, Instant now) {
        fade(now);
        weightedMilliseconds += prefillMilliseconds;
        ownMemoryTokens += memoryTokens;
    }

    void onEnded(long memoryTokens) {
        ownMemoryTokens -= memoryTokens;
    }

    /** Records the outstanding work at an engine, at regular intervals. */
    void observe(OutstandingWork work, OutstandingWork.Totals totals) {
        ownOutstanding += work.ownPrefillTokens();
        allOutstanding += totals.prefillTokens();
    }

    /** Lets older observations count less. */
    void fade(Instant now) {
        double elapsed = Duration.between(updatedAt, now).toNanos() / 1e6;
        double kept = Math.exp(-Math.max(0, elapsed) / AVERAGING_MILLISECONDS);
        updatedAt = now;
        weightedMilliseconds *= kept;
        ownOutstanding *= kept;
        allOutstanding *= kept;
        averageOwnMemoryTokens = kept * averageOwnMemoryTokens + (1 - kept) * ownMemoryTokens;
    }

    /** Returns the mean number of engines that compute long prompts. */
    double busyEngines() {
        return weightedMilliseconds / AVERAGING_MILLISECONDS / observedShare() * allToOwn();
    }

    /** Returns the mean tokens of the long prompts' requests at all engines. */
    double memoryTokens() {
        return averageOwnMemoryTokens / observedShare() * allToOwn();
    }

    /** Corrects for the time before the first observation, which counts as one without load. */
    private double observedShare() {
        double elapsed = Duration.between(startedAt, updatedAt).toMillis();
        return Math.max(0.1, 1 - Math.exp(-elapsed / AVERAGING_MILLISECONDS));
    }

    private double allToOwn() {
        return ownOutstanding <= 0 ? 1 : Math.max(1, allOutstanding / ownOutstanding);
    }
}
