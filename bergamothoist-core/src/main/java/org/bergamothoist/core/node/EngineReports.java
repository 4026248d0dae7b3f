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
 * Caches the last report of each engine and derives which engines can serve each model. Confined to
 * the control thread.
 */
final class EngineReports {

    /** An engine whose report is older may be down, so that orders to it would be lost. */
    private static final Duration MAXIMUM_REPORT_AGE = Duration.ofSeconds(5);

    private final Supplier<Collection<Target>> acceptingEngines;
    private final InstantSource clock;
    private final Map<TargetId, EngineReport> reports = new HashMap<>();
    private final Map<TargetId, Instant> reportedAt = new HashMap<>();
    private final Map<ModelKey, EligibleTargets> eligibleByModel = new HashMap<>();

    EngineReports(Supplier<Collection<Target>> acceptingEngines, InstantSource clock) {
        this.acceptingEngines = acceptingEngines;
        this.clock = clock;
    }

    /** Stores a report; the eligible engines are recomputed only if the loaded models changed. */
    void onReport(Target target, EngineReport report) {
        reportedAt.put(target.id(), clock.instant());
        EngineReport previous = reports.put(target.id(), report);
        if (previous == null || !previous.models().equals(report.models())) {
            invalidateEligibleTargets();
        }
    }

    /** Discards the cached eligible engines, after targets or their models have changed. */
    void invalidateEligibleTargets() {
        eligibleByModel.clear();
    }

    /** Removes the report of an engine that was lost. */
    void remove(TargetId target) {
        reports.remove(target);
        invalidateEligibleTargets();
    }

    Optional<EngineReport> report(TargetId target) {
        return Optional.ofNullable(reports.get(target));
    }

    /** Returns the accepting engines on which the model is ready. */
    EligibleTargets eligible(ModelKey key) {
        return eligibleByModel.computeIfAbsent(
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

    /** Returns the accepting engines with a recent report, to which orders may be sent. */
    List<ReportedEngine> recentlyReportedEngines() {
        Instant oldest = clock.instant().minus(MAXIMUM_REPORT_AGE);
        return acceptingEngines.get().stream()
                .filter(target -> reports.containsKey(target.id()))
                .filter(target -> reportedAt.get(target.id()).isAfter(oldest))
                .map(target -> new ReportedEngine(target, reports.get(target.id())))
                .toList();
    }
}
