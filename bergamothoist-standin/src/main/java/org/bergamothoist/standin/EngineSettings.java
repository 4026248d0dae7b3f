package org.bergamothoist.standin;

import java.time.Duration;
import java.util.List;
import org.bergamothoist.core.identity.ModelKey;

/**
 * Describes an engine stand-in.
 *
 * @param models models that are loaded at the start
 * @param fencing whether orders with an old fencing number are refused
 * @param seed seed of the random choice of lost cache events
 */
public record EngineSettings(
        List<ModelKey> models,
        Cache cache,
        Costs costs,
        Bounds bounds,
        Reporting reporting,
        boolean fencing,
        long seed) {

    public EngineSettings {
        models = List.copyOf(models);
    }

    /**
     * The prefix cache.
     *
     * @param blockTokens tokens of a block
     * @param blocks most blocks that fit
     */
    public record Cache(int blockTokens, int blocks) {}

    /**
     * Time of computing.
     *
     * @param prefillPerToken time to compute one uncached prompt token
     * @param decodeBase time of a decode step, whatever the batch
     * @param decodePerStream further time of a decode step for each stream of the batch
     */
    public record Costs(Duration prefillPerToken, Duration decodeBase, Duration decodePerStream) {}

    /**
     * Bounds of concurrent work.
     *
     * @param tokensPerPiece tokens sent in one event
     * @param running most streams in the batch
     * @param queued most requests that wait for their prefill; the rest is answered with 503
     */
    public record Bounds(int tokensPerPiece, int running, int queued) {}

    /**
     * How late and how completely the engine reports.
     *
     * @param loadLag time between two samples of the load figures
     * @param eventDelay time until a cache event becomes visible
     * @param eventLoss share of cache events that are lost, from 0 to 1
     */
    public record Reporting(Duration loadLag, Duration eventDelay, double eventLoss) {}

    /** Returns settings for short tests and demonstrations, with blocks of 64 tokens. */
    public static EngineSettings defaults(List<ModelKey> models) {
        return new EngineSettings(
                models,
                new Cache(64, 512),
                new Costs(
                        Duration.ofNanos(200_000), Duration.ofMillis(5), Duration.ofNanos(100_000)),
                new Bounds(1, 256, 1_024),
                new Reporting(Duration.ofMillis(200), Duration.ofMillis(100), 0),
                true,
                1);
    }

    /** Returns these settings with another cache. */
    public EngineSettings with(Cache newCache) {
        return new EngineSettings(models, newCache, costs, bounds, reporting, fencing, seed);
    }

    /** Returns these settings with other costs. */
    public EngineSettings with(Costs newCosts) {
        return new EngineSettings(models, cache, newCosts, bounds, reporting, fencing, seed);
    }

    /** Returns these settings with other bounds. */
    public EngineSettings with(Bounds newBounds) {
        return new EngineSettings(models, cache, costs, newBounds, reporting, fencing, seed);
    }

    /** Returns these settings with other reporting. */
    public EngineSettings with(Reporting newReporting) {
        return new EngineSettings(models, cache, costs, bounds, newReporting, fencing, seed);
    }

    /** Returns these settings with fencing numbers checked or ignored. */
    public EngineSettings withFencing(boolean newFencing) {
        return new EngineSettings(models, cache, costs, bounds, reporting, newFencing, seed);
    }

    /** Returns these settings with another seed. */
    public EngineSettings withSeed(long newSeed) {
        return new EngineSettings(models, cache, costs, bounds, reporting, fencing, newSeed);
    }
}
