package org.bergamothoist.core.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.bergamothoist.core.cache.CacheIndex;
import org.bergamothoist.core.cache.CacheIndexSettings;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.invariant.InvariantMonitor;
import org.bergamothoist.core.membership.TargetDirectory;
import org.bergamothoist.core.placement.LoadSettings;
import org.bergamothoist.core.placement.LoadView;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.LoadedModel;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetKind;
import org.bergamothoist.core.platform.VirtualMachine;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.bergamothoist.core.timeline.BoundedTimeline;
import org.bergamothoist.core.timeline.Timeline;
import org.junit.jupiter.api.Test;

class CompletionPlacementTest {

    private static final ModelKey KEY = new ModelKey("lamp", "base", "v1");

    /**
     * Guards against a dead engine that is tried again and again without a pause, which uses up the
     * attempts of each request that meets it.
     */
    @Test
    void failedEngineIsNotEligibleUntilItsNextTryIsDue() {
        VirtualTimeScheduler time = new VirtualTimeScheduler(Instant.EPOCH.plusSeconds(1_000));
        Timeline timeline = new BoundedTimeline(new DaemonId("entry", 1), time);
        InvariantMonitor monitor = (guarantee, holds, detail) -> assertThat(holds).isTrue();
        TargetDirectory directory =
                new TargetDirectory(
                        time,
                        time,
                        new SplittableRandom(1),
                        () -> CompletableFuture.completedFuture(List.of(machine())),
                        monitor,
                        timeline);
        EngineReports reports =
                new EngineReports(() -> directory.accepting(TargetKind.MODEL_ENGINE));
        CompletionPlacement placement =
                new CompletionPlacement(
                        (request, view) -> Optional.empty(),
                        new CacheIndex(CacheIndexSettings.standard(), time, monitor),
                        new LoadView(LoadSettings.standard(), time),
                        directory,
                        reports,
                        null,
                        new CompletionPlacement.Reporting(
                                new NodeMetrics(new MetricRegistry()), timeline));
        directory.onChange((target, state) -> reports.targetsChanged());
        directory.start();
        time.runDueTasks();
        Target engine = directory.accepting(TargetKind.MODEL_ENGINE).get(0);
        reports.onReport(engine, report());

        placement.onConnectionFailed(engine);
        time.advance(Duration.ofSeconds(1));
        reports.targetsChanged();
        assertThat(placement.eligible(KEY).contains(engine.id())).isTrue();

        placement.onConnectionFailed(engine);
        assertThat(placement.eligible(KEY).contains(engine.id())).isFalse();
    }

    private static VirtualMachine machine() {
        return new VirtualMachine(
                "engine",
                VirtualMachine.Role.MODEL_ENGINE,
                "lamp",
                "10.0.0.1",
                9_000,
                "muscat-a",
                VirtualMachine.State.LIVE);
    }

    private static EngineReport report() {
        return new EngineReport(
                new EngineIncarnation("one"),
                List.of(new LoadedModel(KEY, LoadedModel.State.READY)),
                0,
                0,
                Instant.EPOCH,
                0,
                false,
                false);
    }
}
