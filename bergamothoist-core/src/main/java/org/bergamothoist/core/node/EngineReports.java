package org.bergamothoist.core.node;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.order.ReportedEngine;
import org.bergamothoist.core.placement.EligibleTargets;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.LoadedModel;
import org.bergamothoist.core.platform.Target;

/**
 * Keeps the last report of each engine and the engines that are ready for each model. Confined to
 * the control thread.
 */
final class EngineReports {

    /** An engine that has not reported for longer may be down, and orders to it would be lost. */
    private static final Duration CURRENT_FOR = Duration.ofSeconds(5);

    private final Supplier<Collection<Target>> acceptingEngines;
    private final InstantSource clock;
    private final Map<TargetId, EngineReport> reports = new HashMap<>();
    private final Map<TargetId, Instant> reportedAt = new HashMap<>();
    private final Map<ModelKey, EligibleTargets> eligible = new HashMap<>();

    EngineReports(Supplier<Collection<Target>> acceptingEngines, InstantSource clock) {
        this.acceptingEngines = acceptingEngines;
        this.clock = clock;
    }

    /** Takes a report; the ready engines are worked out again only if the models changed. */
    void onReport(Target target, EngineReport report) {
        reportedAt.put(target.id(), clock.instant());
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

    /** Returns the accepting engines that have reported lately, so that orders may be given. */
    List<ReportedEngine> views() {
        Instant oldest = clock.instant().minus(CURRENT_FOR);
        return acceptingEngines.get().stream()
                .filter(target -> reports.containsKey(target.id()))
                .filter(target -> reportedAt.get(target.id()).isAfter(oldest))
                .map(target -> new ReportedEngine(target, reports.get(target.id())))
                .toList();
    }
}
