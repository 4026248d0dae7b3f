package org.bergamothoist.core.node;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.order.EngineView;
import org.bergamothoist.core.placement.EligibleTargets;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.LoadedModel;
import org.bergamothoist.core.platform.Target;

/**
 * Keeps the last report of each engine and the engines that are ready for each model. Confined to
 * the control thread.
 */
final class EngineReports {

    private final Supplier<Collection<Target>> acceptingEngines;
    private final Map<TargetId, EngineReport> reports = new HashMap<>();
    private final Map<ModelKey, EligibleTargets> eligible = new HashMap<>();

    EngineReports(Supplier<Collection<Target>> acceptingEngines) {
        this.acceptingEngines = acceptingEngines;
    }

    /** Takes a report; the ready engines are worked out again only if the models changed. */
    void onReport(Target target, EngineReport report) {
        EngineReport before = reports.put(target.id(), report);
        if (before == null || !before.models().equals(report.models())) {
            targetsChanged();
        }
    }

    /** Notes that the set of accepting targets has changed. */
    void targetsChanged() {
        eligible.clear();
    }

    /** Forgets what a lost engine had loaded. */
    void lost(TargetId target) {
        reports.remove(target);
        targetsChanged();
    }

    Optional<EngineReport> report(TargetId target) {
        return Optional.ofNullable(reports.get(target));
    }

    EligibleTargets eligible(ModelKey key) {
        return eligible.computeIfAbsent(
                key,
                model ->
                        EligibleTargets.of(
                                acceptingEngines.get().stream()
                                        .map(Target::id)
                                        .filter(target -> isReady(target, model))
                                        .toList()));
    }

    private boolean isReady(TargetId target, ModelKey key) {
        EngineReport report = reports.get(target);
        return report != null
                && report.models().contains(new LoadedModel(key, LoadedModel.State.READY));
    }

    /** Returns the accepting engines that have reported. */
    List<EngineView> views() {
        return acceptingEngines.get().stream()
                .filter(target -> reports.containsKey(target.id()))
                .map(target -> new EngineView(target, reports.get(target.id())))
                .toList();
    }
}
