package org.bergamothoist.standin;

/**
 * What an engine stand-in has counted since it was created, over all incarnations.
 *
 * @param prefilledTokens prompt tokens computed
 * @param cachedTokens prompt tokens taken from the cache
 * @param generatedTokens tokens generated
 * @param recomputedTokens prompt tokens computed although a live engine held them
 * @param discardedTokens tokens of cancelled or crashed streams that no client received
 * @param foreignContinuations requests whose continuation is not what the engine would generate
 */
public record EngineCounters(
        long prefilledTokens,
        long cachedTokens,
        long generatedTokens,
        long recomputedTokens,
        long discardedTokens,
        long foreignContinuations) {

    /** Counters of an engine that did nothing. */
    public static final EngineCounters ZERO = new EngineCounters(0, 0, 0, 0, 0, 0);

    /** Returns the sum of both. */
    public EngineCounters plus(EngineCounters other) {
        return new EngineCounters(
                prefilledTokens + other.prefilledTokens,
                cachedTokens + other.cachedTokens,
                generatedTokens + other.generatedTokens,
                recomputedTokens + other.recomputedTokens,
                discardedTokens + other.discardedTokens,
                foreignContinuations + other.foreignContinuations);
    }

    /** Returns what was counted since an earlier reading. */
    public EngineCounters minus(EngineCounters earlier) {
        return new EngineCounters(
                prefilledTokens - earlier.prefilledTokens,
                cachedTokens - earlier.cachedTokens,
                generatedTokens - earlier.generatedTokens,
                recomputedTokens - earlier.recomputedTokens,
                discardedTokens - earlier.discardedTokens,
                foreignContinuations - earlier.foreignContinuations);
    }

    /** Returns the share of prompt tokens that came from the cache, 0 if there were none. */
    public double hitRate() {
        long all = prefilledTokens + cachedTokens;
        return all == 0 ? 0 : (double) cachedTokens / all;
    }

    /** Returns recomputed and discarded tokens. */
    public long wastedTokens() {
        return recomputedTokens + discardedTokens;
    }
}
