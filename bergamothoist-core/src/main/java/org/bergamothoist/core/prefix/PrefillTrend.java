package org.bergamothoist.core.prefix;

/**
 * Time to the first event of undisturbed requests as a line over their uncached prompt tokens,
 * fitted by least squares over all engines of a service. The intercept holds what does not depend
 * on the prompt: the network, and the decode steps up to the first event. Confined to the control
 * thread.
 */
final class PrefillTrend {

    /** Number of samples over which a sample loses most of its weight. */
    private static final int WINDOW = 512;

    /** Samples that the assumed rate counts for, so that a few measured ones do not replace it. */
    private static final double PRIOR_SAMPLES = 8;

    /**
     * Smallest spread of prompt sizes, as a share of their mean, from which intercept and slope can
     * be told apart.
     */
    private static final double SMALLEST_SIZE_SPREAD = 0.2;

    /** Largest ratio of the whole time to the first event to the prompt's part of it. */
    private static final double LARGEST_INTERCEPT = 16;

    private final double assumedMillisecondsPerToken;
    private double weight;
    private double tokens;
    private double tokensSquared;
    private double milliseconds;
    private double product;

    /** Creates a trend of engines without samples, which compute at the assumed rate. */
    PrefillTrend(double assumedTokensPerMillisecond) {
        assumedMillisecondsPerToken = 1 / assumedTokensPerMillisecond;
    }

    void add(double promptTokens, double elapsedMilliseconds) {
        double kept = 1 - 1.0 / WINDOW;
        weight = kept * weight + 1;
        tokens = kept * tokens + promptTokens;
        tokensSquared = kept * tokensSquared + promptTokens * promptTokens;
        milliseconds = kept * milliseconds + elapsedMilliseconds;
        product = kept * product + promptTokens * elapsedMilliseconds;
    }

    /** Returns the time of one prompt token in milliseconds. */
    double millisecondsPerToken() {
        return (PRIOR_SAMPLES * assumedMillisecondsPerToken + weight * slope())
                / (PRIOR_SAMPLES + weight);
    }

    private double slope() {
        if (weight == 0) {
            return assumedMillisecondsPerToken;
        }
        double meanTokens = tokens / weight;
        double meanMilliseconds = milliseconds / weight;
        double variance = tokensSquared / weight - meanTokens * meanTokens;
        double covariance = product / weight - meanTokens * meanMilliseconds;
        double proportional = meanMilliseconds / meanTokens;
        boolean distinct = Math.sqrt(Math.max(0, variance)) > SMALLEST_SIZE_SPREAD * meanTokens;
        return distinct
                ? Math.min(
                        proportional,
                        Math.max(proportional / LARGEST_INTERCEPT, covariance / variance))
                : proportional;
    }

    /** Returns the time to the first event that does not depend on the prompt's size. */
    double interceptMilliseconds() {
        return weight == 0
                ? 0
                : Math.max(0, (milliseconds - tokens * millisecondsPerToken()) / weight);
    }

    /** Returns the expected time to the first event at an average engine. */
    double expectedMilliseconds(double promptTokens) {
        return interceptMilliseconds() + promptTokens * millisecondsPerToken();
    }
}
