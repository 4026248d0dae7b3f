package org.bergamothoist.core.rollout;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.fleet.RegisteredTarget;

/** Chooses the engines that load new weights next. */
public final class RolloutPlanner {

    /** Engines that load at once; with more, each takes longer. Stated by the platform. */
    public static final int MOST_LOADING = 2;

    /** Engines that load at once while the others have more work than they can do in time. */
    public static final int MOST_LOADING_WHEN_BUSY = 1;

    private RolloutPlanner() {}

    /** Where an engine is in the change of its weights. */
    public enum Phase {
        /** Nothing is under way. */
        NONE,
        /** No new requests are sent to it, so that the load starts at once. */
        PREPARING,
        /** It was ordered to load. */
        LOADING,
        /** It was ordered long enough ago for the next engine to be prepared. */
        NEARLY_LOADED
    }

    /**
     * What is known of an engine.
     *
     * @param version version of the model's weights
     * @param reachable whether orders reach it
     * @param requests requests outstanding at the engine
     */
    public record EngineWeights(
            RegisteredTarget engine,
            String model,
            int version,
            Phase phase,
            boolean reachable,
            int requests) {}

    /**
     * Returns the engines to prepare now: the oldest weights first, then the least loaded.
     *
     * @param newest newest named version by model; versions between are skipped
     * @param mostLoading engines that may be under way at once
     */
    public static List<WeightOrder> plan(
            List<EngineWeights> engines, Map<String, Integer> newest, int mostLoading) {
        long underWay =
                engines.stream()
                        .filter(
                                engine ->
                                        engine.phase() == Phase.PREPARING
                                                || engine.phase() == Phase.LOADING)
                        .count();
        return engines.stream()
                .filter(engine -> engine.phase() == Phase.NONE && engine.reachable())
                .filter(engine -> isOutdated(engine, newest))
                .sorted(
                        Comparator.comparingInt(EngineWeights::version)
                                .thenComparing(EngineWeights::requests)
                                .thenComparing(engine -> engine.engine().id()))
                .limit(Math.max(0, mostLoading - underWay))
                .map(
                        engine ->
                                new WeightOrder(
                                        engine.engine(),
                                        engine.model(),
                                        newest.get(engine.model())))
                .toList();
    }

    /**
     * Returns whether another engine may be ordered to load now. An engine loads until it reports
     * the end: running requests delay it, and every load beyond the bound delays the others.
     */
    public static boolean mayLoadAnother(List<EngineWeights> engines) {
        return engines.stream()
                        .filter(
                                engine ->
                                        engine.phase() == Phase.LOADING
                                                || engine.phase() == Phase.NEARLY_LOADED)
                        .count()
                < MOST_LOADING;
    }

    /** Returns whether an engine's weights are older than the newest named ones. */
    public static boolean isOutdated(EngineWeights engine, Map<String, Integer> newest) {
        return engine.version() < newest.getOrDefault(engine.model(), 0);
    }
}
