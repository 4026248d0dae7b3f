package org.bergamothoist.core.prefix;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;

/**
 * Median of the last samples of a measured quantity, which a minority of outliers hardly changes.
 * Confined to the control thread.
 */
final class RecentMedian {

    private final double[] recent;
    private double[] sorted = new double[0];
    private int next;
    private int samples;
    private Instant lastAt = Instant.EPOCH;

    /**
     * Creates a median without samples.
     *
     * @param window number of samples that are kept
     */
    RecentMedian(int window) {
        recent = new double[window];
    }

    void add(double value, Instant now) {
        put(value);
        samples = samples == Integer.MAX_VALUE ? samples : samples + 1;
        lastAt = now;
    }

    /** Lets a less reliable value count, without making the measurement newer. */
    void correct(double value) {
        put(value);
    }

    private void put(double value) {
        recent[next] = value;
        next = (next + 1) % recent.length;
        int kept = Math.min(recent.length, sorted.length + 1);
        sorted = Arrays.copyOf(recent, kept);
        Arrays.sort(sorted);
    }

    /** Returns the median, 0 without samples. */
    double median() {
        return sorted.length == 0 ? 0 : sorted[sorted.length / 2];
    }

    /** Returns the difference of the quartiles. */
    double spread() {
        return sorted.length == 0 ? 0 : sorted[sorted.length * 3 / 4] - sorted[sorted.length / 4];
    }

    int samples() {
        return samples;
    }

    /** Returns the time since the last sample. */
    Duration age(Instant now) {
        return Duration.between(lastAt, now);
    }
}
