package org.bergamothoist.core.order;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.platform.LoadedModel;

/**
 * Plans which engine shall hold which models. A pure function: engines keep what they have as far
 * as possible, each model gets engines in proportion to its demand, at least one.
 */
public final class DesiredStatePlanner {

    private final int modelsPerEngine;

    /**
     * Creates a planner.
     *
     * @param modelsPerEngine most models, adapters and versions that one engine holds
     */
    public DesiredStatePlanner(int modelsPerEngine) {
        this.modelsPerEngine = modelsPerEngine;
    }

    /**
     * Returns the models that each engine shall hold.
     *
     * @param demand tokens a second asked for, for each model that a sheet names; zero is allowed
     */
    public SortedMap<TargetId, Set<ModelKey>> plan(
            List<EngineView> engines, Map<ModelKey, Long> demand) {
        SortedMap<TargetId, Set<ModelKey>> plan = new TreeMap<>();
        engines.forEach(engine -> plan.put(engine.target().id(), new HashSet<>()));
        if (engines.isEmpty()) {
            return plan;
        }
        List<ModelKey> byDemand = new ArrayList<>(demand.keySet());
        byDemand.sort(
                Comparator.comparing((ModelKey key) -> -demand.get(key))
                        .thenComparing(ModelKey::toString));
        Map<ModelKey, Integer> replicas = replicas(engines.size(), demand);
        // One engine for each model first, so that a crowded model cannot leave another without.
        for (ModelKey key : byDemand) {
            assign(plan, engines, key, 1);
        }
        for (ModelKey key : byDemand) {
            assign(plan, engines, key, replicas.get(key));
        }
        return plan;
    }

    private Map<ModelKey, Integer> replicas(int engines, Map<ModelKey, Long> demand) {
        Map<ModelKey, Integer> replicas = new HashMap<>();
        if (demand.size() <= modelsPerEngine) {
            demand.keySet().forEach(key -> replicas.put(key, engines));
            return replicas;
        }
        long total = Math.max(1, demand.values().stream().mapToLong(Long::longValue).sum());
        long places = (long) engines * modelsPerEngine;
        demand.forEach(
                (key, tokens) ->
                        replicas.put(
                                key,
                                (int) Math.max(1, Math.min(engines, places * tokens / total))));
        return replicas;
    }

    private void assign(
            SortedMap<TargetId, Set<ModelKey>> plan,
            List<EngineView> engines,
            ModelKey key,
            int wanted) {
        List<EngineView> candidates = new ArrayList<>(engines);
        candidates.sort(
                Comparator.comparing((EngineView engine) -> !holds(engine, key))
                        .thenComparing(engine -> plan.get(engine.target().id()).size())
                        .thenComparing(engine -> engine.target().id()));
        long have = plan.values().stream().filter(models -> models.contains(key)).count();
        for (EngineView engine : candidates) {
            if (have >= wanted) {
                return;
            }
            Set<ModelKey> models = plan.get(engine.target().id());
            if (models.size() < modelsPerEngine && models.add(key)) {
                have++;
            }
        }
    }

    private static boolean holds(EngineView engine, ModelKey key) {
        return engine.report().models().stream().map(LoadedModel::key).anyMatch(key::equals);
    }
}
