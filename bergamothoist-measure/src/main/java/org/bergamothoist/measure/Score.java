package org.bergamothoist.measure;

/**
 * Weights of a deployment's measures, which add up to 1. The score of a policy in a scenario is
 *
 * <pre>
 * (tail × p99 / p99 of the oracle + hit × oracle's hit rate / hit rate
 *     + waste × (1 + wasted tokens / prompt tokens)) × offered / answered
 * </pre>
 *
 * so that the oracle's score is near 1 and lower is better.
 *
 * @param tail weight of the 99th percentile of the time to first token
 * @param hit weight of the hit rate
 * @param waste weight of wasted tokens
 */
public record Score(double tail, double hit, double waste) {

    static final Score BRUNNER = new Score(0.6, 0.2, 0.2);
    static final Score AL_HARTHY = new Score(0.2, 0.4, 0.4);

    private static final double LEAST_HIT_RATE = 0.001;

    double of(RunResult result, RunResult oracle) {
        double tailRatio = (double) result.p99() / Math.max(1, oracle.p99());
        double hitRatio = oracle.hitRate() / Math.max(LEAST_HIT_RATE, result.hitRate());
        double wasteRatio = 1 + (double) result.wastedTokens() / Math.max(1, result.promptTokens());
        double served =
                (double) result.offered() / Math.max(1, result.offered() - result.refused());
        return (tail * tailRatio + hit * hitRatio + waste * wasteRatio) * served;
    }
}
