package org.bergamothoist.core.rollout;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.fleet.RegisteredTarget;

/** Selects the engines that load new weights next. */
public final class RolloutPlanner {

    private RolloutPlanner() {}

    /** Phase of an engine in loading new weights. */
    public enum Phase {
        /** The engine is not loading or about to load. */
        NONE,
        /** The engine gets no new requests, so that a load can start without delay. */
        PREPARING,
        /** The engine was ordered to load. */
        LOADING,
        /** The load was ordered long enough ago that the next engine can be prepared. */
        NEARLY_LOADED
    }

    /**
     * State of an engine as far as rollouts are concerned.
     *
     * @param version version of the model's weights that the engine has
     * @param reachable whether the engine can be ordered to load
     * @param outstandingRequests number of outstanding requests
     */
    public record EngineRolloutState(
            RegisteredTarget engine,
            String model,
            int version,
            Phase phase,
            boolean reachable,
            int outstandingRequests) {}

    /**
     * Returns the loads to prepare now: engines with the oldest weights first, among these the
     * least loaded.
     *
     * @param newest newest requested version by model; intermediate versions are skipped
     * @param maximumLoads maximum number of engines in preparation or loading
     */
    public static List<WeightOrder> plan(
            List<EngineRolloutState> engines, Map<String, Integer> newest, int maximumLoads) {
        long loadsInProgress =
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
                        Comparator.comparingInt(EngineRolloutState::version)
                                .thenComparing(EngineRolloutState::outstandingRequests)
                                .thenComparing(engine -> engine.engine().id()))
                .limit(Math.max(0, maximumLoads - loadsInProgress))
                .map(
                        engine ->
                                new WeightOrder(
                                        engine.engine(),
                                        engine.model(),
                                        newest.get(engine.model())))
                .toList();
    }

    /**
     * Returns whether another engine may be ordered to load now. An engine counts as loading until
     * it reports the end, since running requests delay the load and any load beyond the maximum
     * slows the others down.
     *
     * @param maximumLoads maximum number of engines that load at once
     */
    public static boolean canStartLoad(List<EngineRolloutState> engines, int maximumLoads) {
        return engines.stream()
                        .filter(
                                engine ->
                                        engine.phase() == Phase.LOADING
                                                || engine.phase() == Phase.NEARLY_LOADED)
                        .count()
                < maximumLoads;
    }

    /** Returns whether an engine's weights are older than the newest requested version. */
    public static boolean isOutdated(EngineRolloutState engine, Map<String, Integer> newest) {
        return engine.version() < newest.getOrDefault(engine.model(), 0);
    }
}
