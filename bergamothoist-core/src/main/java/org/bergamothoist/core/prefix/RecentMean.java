package org.bergamothoist.core.prefix;

/**
 * Mean and spread of a measured quantity, in which newer samples count more. Confined to the
 * control thread.
 */
final class RecentMean {

    private final int window;
    private double mean;
    private double variance;
    private int samples;

    /**
     * Creates a mean without samples.
     *
     * @param window number of samples over which a sample loses most of its weight
     */
    RecentMean(int window) {
        this.window = window;
    }

    void add(double value) {
        samples = samples == Integer.MAX_VALUE ? samples : samples + 1;
        double weight = 1.0 / Math.min(window, samples);
        double difference = value - mean;
        mean += weight * difference;
        variance = (1 - weight) * (variance + weight * difference * difference);
    }

    /** Returns the mean, 0 without samples. */
    double mean() {
        return mean;
    }

    /** Returns the standard deviation. */
    double spread() {
        return Math.sqrt(variance);
    }

    int samples() {
        return samples;
    }
}
