package org.bergamothoist.core.rollout;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.fleet.RegisteredTarget;

/** Chooses the engines that load new weights next. */
public final class RolloutPlanner {

    /** Engines that load at once; with more, each takes longer. Stated by the platform. */
    public static final int MOST_LOADING = 2;

    private RolloutPlanner() {}

    /**
     * What is known of an engine.
     *
     * @param version version of the model's weights
     * @param loading whether an order is in progress, or may be
     * @param reachable whether orders reach it
     * @param requests requests outstanding at the engine
     */
    public record EngineWeights(
            RegisteredTarget engine,
            String model,
            int version,
            boolean loading,
            boolean reachable,
            int requests) {}

    /**
     * Returns the orders to give now: the least loaded outdated engines first.
     *
     * @param newest newest named version by model; versions between are skipped
     */
    public static List<WeightOrder> plan(List<EngineWeights> engines, Map<String, Integer> newest) {
        long loading = engines.stream().filter(EngineWeights::loading).count();
        long free = Math.max(0, MOST_LOADING - loading);
        return engines.stream()
                .filter(engine -> !engine.loading() && engine.reachable())
                .filter(engine -> isOutdated(engine, newest))
                .sorted(
                        Comparator.comparingInt(EngineWeights::requests)
                                .thenComparing(engine -> engine.engine().id()))
                .limit(free)
                .map(
                        engine ->
                                new WeightOrder(
                                        engine.engine(),
                                        engine.model(),
                                        newest.get(engine.model())))
                .toList();
    }

    /** Returns whether an engine's weights are older than the newest named ones. */
    public static boolean isOutdated(EngineWeights engine, Map<String, Integer> newest) {
        return engine.version() < newest.getOrDefault(engine.model(), 0);
    }
}
