package org.bergamothoist.core.node;

import java.util.Map;
import org.bergamothoist.core.cache.CacheIndex;
import org.bergamothoist.core.cache.CacheIndexSettings;
import org.bergamothoist.core.cache.CacheSynchroniser;
import org.bergamothoist.core.cache.SynchroniserSettings;
import org.bergamothoist.core.membership.TargetAvailability;
import org.bergamothoist.core.membership.TargetDirectory;
import org.bergamothoist.core.placement.LoadEstimator;
import org.bergamothoist.core.placement.LoadSettings;
import org.bergamothoist.core.placement.ReplicaController;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetKind;

/** Tracks targets: their directory, engine reports, cache contents and load. */
final class TargetTracker {

    private final TargetDirectory directory;
    private final EngineReports reports;
    private final CacheIndex index;
    private final LoadEstimator load;
    private final CacheSynchroniser synchroniser;
    private final ReplicaController replicas;

    TargetTracker(
            NodeSettings settings, NodeAdapters adapters, RouterNode.Environment environment) {
        this.directory =
                new TargetDirectory(
                        environment.clock(),
                        environment.scheduler(),
                        environment.random(),
                        adapters.virtualMachines(),
                        environment.monitor(),
                        environment.timeline());
        this.reports =
                new EngineReports(
                        () -> directory.accepting(TargetKind.MODEL_ENGINE), environment.clock());
        this.index =
                new CacheIndex(
                        CacheIndexSettings.standard(), environment.clock(), environment.monitor());
        this.load = new LoadEstimator(loadSettings(settings), environment.clock());
        this.synchroniser =
                new CacheSynchroniser(
                        SynchroniserSettings.standard(),
                        settings.self(),
                        adapters.engines(),
                        index,
                        this::onReport,
                        environment.scheduler(),
                        environment.random());
        this.replicas =
                new ReplicaController(
                        new ReplicaController.Dependencies(
                                adapters.engines(),
                                adapters.cacheStore(),
                                index,
                                id -> directory.find(id).map(Map.Entry::getKey),
                                environment.scheduler(),
                                environment.clock(),
                                environment.timeline()));
        directory.onChange(this::targetsChanged);
    }

    private static LoadSettings loadSettings(NodeSettings settings) {
        LoadSettings standard = LoadSettings.standard();
        return new LoadSettings(
                settings.prefillTokensPerSecond(),
                standard.streamsPerTarget(),
                standard.streamDuration(),
                standard.expiry());
    }

    private void targetsChanged(Target target, TargetAvailability state) {
        if (state == TargetAvailability.LEAVING && target.kind() == TargetKind.MODEL_ENGINE) {
            replicas.exportPrefixes(target);
        }
        reports.invalidateEligibleTargets();
        synchroniser.setEngines(directory.accepting(TargetKind.MODEL_ENGINE));
    }

    private void onReport(Target target, EngineReport report) {
        directory.observeReport(target.id(), report);
        index.observeIncarnation(target.id(), report.incarnation());
        load.onReport(target.id(), report.queuedTokens(), report.runningStreams());
        reports.onReport(target, report);
    }

    TargetDirectory directory() {
        return directory;
    }

    EngineReports reports() {
        return reports;
    }

    CacheIndex index() {
        return index;
    }

    LoadEstimator load() {
        return load;
    }

    ReplicaController replicas() {
        return replicas;
    }

    void start() {
        directory.start();
    }

    void stop() {
        directory.stop();
        synchroniser.stop();
    }
}
