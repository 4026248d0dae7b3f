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
import org.bergamothoist.core.dispatch.EngineChoice;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.invariant.InvariantMonitor;
import org.bergamothoist.core.membership.TargetDirectory;
import org.bergamothoist.core.placement.LoadEstimator;
import org.bergamothoist.core.placement.LoadSettings;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.LoadedModel;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetKind;
import org.bergamothoist.core.platform.VirtualMachine;
import org.bergamothoist.core.prompt.BlockHashChain;
import org.bergamothoist.core.prompt.BlockHasher;
import org.bergamothoist.core.prompt.Prompt;
import org.bergamothoist.core.request.CompletionExchange;
import org.bergamothoist.core.request.CompletionSubmission;
import org.bergamothoist.core.request.RequestExchange;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.bergamothoist.core.timeline.BoundedTimeline;
import org.bergamothoist.core.timeline.Timeline;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CompletionPlacementTest {

    private static final ModelKey KEY = new ModelKey("lamp", "base", "v1");
    private static final EngineIncarnation FIRST_INCARNATION = new EngineIncarnation("one");

    private final VirtualTimeScheduler time =
            new VirtualTimeScheduler(Instant.EPOCH.plusSeconds(1_000));
    private final Timeline timeline = new BoundedTimeline(new DaemonId("entry", 1), time);
    private final InvariantMonitor monitor =
            (guarantee, holds, detail) -> assertThat(holds).isTrue();
    private final TargetDirectory directory =
            new TargetDirectory(
                    time,
                    time,
                    new SplittableRandom(1),
                    () -> CompletableFuture.completedFuture(List.of(virtualMachine())),
                    monitor,
                    timeline);
    private final EngineReports reports =
            new EngineReports(() -> directory.accepting(TargetKind.MODEL_ENGINE), time);
    private final CacheIndex index = new CacheIndex(CacheIndexSettings.standard(), time, monitor);
    private final CompletionPlacement placement =
            new CompletionPlacement(
                    (request, view) -> Optional.empty(),
                    index,
                    new LoadEstimator(LoadSettings.standard(), time),
                    directory,
                    reports,
                    null,
                    new CompletionPlacement.Instrumentation(
                            new NodeMetrics(new MetricRegistry()), timeline));
    private Target engine;

    @BeforeEach
    void listEngine() {
        directory.onChange((target, state) -> reports.invalidateEligibleTargets());
        directory.start();
        time.runDueTasks();
        engine = directory.accepting(TargetKind.MODEL_ENGINE).get(0);
        reports.onReport(engine, report());
    }

    /**
     * Guards against retrying a dead engine without a pause, which uses up the attempts of every
     * request sent to it.
     */
    @Test
    void failedEngineIsNotEligibleUntilItsNextTrialIsDue() {
        placement.onConnectionFailed(engine);
        time.advance(Duration.ofSeconds(1));
        reports.invalidateEligibleTargets();
        assertThat(placement.eligible(KEY).contains(engine.id())).isTrue();

        placement.onConnectionFailed(engine);
        assertThat(placement.eligible(KEY).contains(engine.id())).isFalse();
    }

    /**
     * Guards against predicting cache hits of an incarnation that ended during a suspect's wait.
     */
    @Test
    void confirmedChoiceMatchesTheCurrentIncarnation() {
        OrganisationId organisation = new OrganisationId("hotel");
        Prompt prompt = new Prompt("candles ".repeat(20));
        BlockHashChain chain = new BlockHasher(4).hashChain(organisation, KEY, prompt);
        index.onAnswer(engine.id(), FIRST_INCARNATION, chain, 0);
        EngineChoice choice = new EngineChoice(engine, FIRST_INCARNATION, chain.length(), false);
        assertThat(placement.confirm(exchange(prompt, chain), choice)).contains(choice);

        EngineIncarnation secondIncarnation = new EngineIncarnation("two");
        index.observeIncarnation(engine.id(), secondIncarnation);
        assertThat(placement.confirm(exchange(prompt, chain), choice))
                .contains(new EngineChoice(engine, secondIncarnation, 0, false));

        reports.remove(engine.id());
        assertThat(placement.confirm(exchange(prompt, chain), choice)).isEmpty();
    }

    private CompletionExchange exchange(Prompt prompt, BlockHashChain chain) {
        RequestId id = RequestId.create(time.instant(), new SplittableRandom(1));
        CompletionExchange exchange =
                new CompletionExchange(
                        new RequestExchange.Metadata(
                                id, true, "key", 5, time.instant(), Optional.empty(), true),
                        new CompletionSubmission(
                                "key",
                                Optional.of(id),
                                KEY.model(),
                                KEY.adapter(),
                                Optional.empty(),
                                prompt,
                                10,
                                5,
                                Optional.empty(),
                                true),
                        Optional.empty(),
                        null,
                        (request, outcome) -> outcome);
        exchange.resolveTo(KEY, chain, null);
        return exchange;
    }

    private static VirtualMachine virtualMachine() {
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
                FIRST_INCARNATION,
                List.of(new LoadedModel(KEY, LoadedModel.State.READY)),
                0,
                0,
                Instant.EPOCH,
                0,
                false,
                false);
    }
}
