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
 * Plans which engine holds which models. Engines keep their models as far as possible; each model
 * gets a number of engines in proportion to its demand, but at least one. The plan depends on the
 * arguments only.
 */
public final class DesiredStatePlanner {

    private final int modelsPerEngine;

    /**
     * Creates a planner.
     *
     * @param modelsPerEngine maximum number of models, each with its adapter and version, that one
     *     engine holds
     */
    public DesiredStatePlanner(int modelsPerEngine) {
        this.modelsPerEngine = modelsPerEngine;
    }

    /**
     * Returns the models that each engine is to hold.
     *
     * @param demand requested tokens per second by model, for every model that a sheet names; may
     *     be 0
     */
    public SortedMap<TargetId, Set<ModelKey>> plan(
            List<ReportedEngine> engines, Map<ModelKey, Long> demand) {
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
        // Each model gets one engine first, so that one with a high demand cannot take all engines.
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
        long capacity = (long) engines * modelsPerEngine;
        demand.forEach(
                (key, tokens) ->
                        replicas.put(
                                key,
                                (int) Math.max(1, Math.min(engines, capacity * tokens / total))));
        return replicas;
    }

    private void assign(
            SortedMap<TargetId, Set<ModelKey>> plan,
            List<ReportedEngine> engines,
            ModelKey key,
            int replicaCount) {
        List<ReportedEngine> candidates = new ArrayList<>(engines);
        candidates.sort(
                Comparator.comparing((ReportedEngine engine) -> !holds(engine, key))
                        .thenComparing(engine -> plan.get(engine.target().id()).size())
                        .thenComparing(engine -> engine.target().id()));
        long assigned = plan.values().stream().filter(models -> models.contains(key)).count();
        for (ReportedEngine engine : candidates) {
            if (assigned >= replicaCount) {
                return;
            }
            Set<ModelKey> models = plan.get(engine.target().id());
            if (models.size() < modelsPerEngine && models.add(key)) {
                assigned++;
            }
        }
    }

    private static boolean holds(ReportedEngine engine, ModelKey key) {
        return engine.report().models().stream().map(LoadedModel::key).anyMatch(key::equals);
    }
}
