package org.bergamothoist.daemon.settings;

/**
 * How much placement values each measure; only the ratio counts.
 *
 * @param tailLatency weight of the predicted time to first token, not negative
 * @param recomputation weight of recomputed tokens, not negative
 */
public record Weightings(double tailLatency, double recomputation) {}
