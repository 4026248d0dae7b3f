package org.bergamothoist.core.cache;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.IntStream;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.platform.BlockTransfer;
import org.bergamothoist.core.platform.CacheEvent;
import org.bergamothoist.core.platform.CacheEventPage;
import org.bergamothoist.core.platform.CacheSnapshot;
import org.bergamothoist.core.platform.EngineCall;
import org.bergamothoist.core.platform.EngineClient;
import org.bergamothoist.core.platform.EngineListener;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.EngineResume;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetKind;
import org.bergamothoist.core.platform.TargetOrder;
import org.bergamothoist.core.platform.TargetStream;
import org.bergamothoist.core.prompt.BlockHashChain;
import org.junit.jupiter.api.Test;

class CacheSynchroniserTest {

    private static final EngineIncarnation INCARNATION = new EngineIncarnation("run-1");
    private static final BlockHashChain CHAIN = new BlockHashChain(new long[] {1, 2}, 25, 10);
    private static final SynchroniserSettings SETTINGS =
            new SynchroniserSettings(Duration.ofMillis(500), 0.2, 4, Duration.ofSeconds(2));

    private final ManualScheduler time = new ManualScheduler();
    private final Engine engine = new Engine();
    private final List<EngineReport> reports = new ArrayList<>();
    private final CacheIndex index =
            new CacheIndex(
                    CacheIndexSettings.standard(),
                    time,
                    (guarantee, holds, detail) -> assertThat(holds).isTrue());

    /**
     * Guards against an index that stays incorrect after the loss of intermediate or of the newest
     * events.
     */
    @Test
    void lostEventsTriggerSnapshot() {
        start(1, "daemon-1");
        time.advance(Duration.ofSeconds(2));
        assertThat(engine.snapshots).as("at start").isEqualTo(1);

        engine.sequence = 9;
        engine.nextEvents = List.of(new CacheEvent(9, CacheEvent.Kind.STORED, 2));
        engine.blocks = List.of(1L);
        time.advance(Duration.ofSeconds(2));
        assertThat(engine.snapshots).as("gap").isEqualTo(2);
        assertThat(index.matchedBlocks(target(0).id(), CHAIN)).isEqualTo(1);

        engine.sequence = 12;
        engine.nextEvents = List.of();
        engine.blocks = List.of(1L, 2L);
        time.advance(Duration.ofSeconds(5));
        assertThat(engine.snapshots).as("newest events lost").isEqualTo(3);
        assertThat(index.matchedBlocks(target(0).id(), CHAIN)).isEqualTo(2);
    }

    /** Guards against calls that pile up at a slow engine, and against never polling it again. */
    @Test
    void unansweredCallsTimeOutWithOnlyOneInFlight() {
        engine.hangs = true;
        start(1, "daemon-1");
        time.advance(Duration.ofSeconds(30));
        assertThat(engine.calls).isLessThanOrEqualTo(15);
        assertThat(engine.mostInFlight).isEqualTo(1);

        engine.hangs = false;
        time.advance(Duration.ofSeconds(20));
        assertThat(reports).isNotEmpty();
    }

    /**
     * Guards against an answer to an earlier call that confirms an engine after its connection was
     * lost.
     */
    @Test
    void answersFromBeforeConnectionLossAreIgnored() {
        start(1, "daemon-1");
        time.advance(Duration.ofSeconds(2));
        engine.hangs = true;
        time.advance(Duration.ofSeconds(1));
        index.onConnectionLost(target(0).id());
        engine.pending.complete(engine.answer());
        time.advance(Duration.ofMillis(1));

        assertThat(index.incarnation(target(0).id())).isEmpty();
    }

    /** Guards against polling costs per daemon that grow with the number of engines. */
    @Test
    void pollsOnlyItsShareOfTargets() {
        CacheSynchroniser first = start(100, "daemon-1");
        time.advance(Duration.ofSeconds(5));
        List<TargetId> polledByFirst = List.copyOf(engine.polled);
        first.stop();
        engine.polled.clear();
        start(100, "daemon-2");
        time.advance(Duration.ofSeconds(5));

        assertThat(polledByFirst).hasSize(4);
        assertThat(engine.polled).hasSize(4).doesNotContainAnyElementsOf(polledByFirst);
    }

    private CacheSynchroniser start(int targets, String daemon) {
        CacheSynchroniser synchroniser =
                new CacheSynchroniser(
                        SETTINGS,
                        new DaemonId(daemon, 1),
                        engine,
                        index,
                        (target, report) -> reports.add(report),
                        time,
                        new Random(5));
        synchroniser.setEngines(
                IntStream.range(0, targets).mapToObj(CacheSynchroniserTest::target).toList());
        return synchroniser;
    }

    private static Target target(int number) {
        return new Target(
                new TargetId("engine-" + number),
                TargetKind.MODEL_ENGINE,
                "engines",
                "127.0.0.1",
                1,
                "a");
    }

    /** An engine that answers immediately or, while it hangs, when the test completes the call. */
    private final class Engine implements EngineClient {
        private final List<TargetId> polled = new ArrayList<>();
        private CompletableFuture<EngineReport> pending = new CompletableFuture<>();
        private List<CacheEvent> nextEvents = List.of();
        private List<Long> blocks = List.of();
        private long sequence;
        private boolean hangs;
        private int snapshots;
        private int calls;
        private int mostInFlight;
        private Instant lastCall = Instant.MIN;

        private EngineReport answer() {
            return new EngineReport(
                    INCARNATION, List.of(), 0, 0, time.instant(), sequence, false, true);
        }

        @Override
        public CompletionStage<EngineReport> report(Target target) {
            if (!polled.contains(target.id())) {
                polled.add(target.id());
            }
            calls++;
            boolean previousCallOpen =
                    time.instant().isBefore(lastCall.plus(SETTINGS.callTimeout()));
            mostInFlight = Math.max(mostInFlight, hangs && previousCallOpen ? 2 : 1);
            if (!hangs) {
                return CompletableFuture.completedFuture(answer());
            }
            lastCall = time.instant();
            pending = new CompletableFuture<>();
            return pending;
        }

        @Override
        public CompletionStage<CacheEventPage> cacheEvents(Target target, long afterSequence) {
            return CompletableFuture.completedFuture(new CacheEventPage(INCARNATION, nextEvents));
        }

        @Override
        public CompletionStage<CacheSnapshot> cacheSnapshot(Target target) {
            snapshots++;
            return CompletableFuture.completedFuture(
                    new CacheSnapshot(INCARNATION, sequence, blocks));
        }

        @Override
        public TargetStream start(EngineCall call, EngineListener listener) {
            throw new UnsupportedOperationException();
        }

        @Override
        public TargetStream resume(EngineResume resume, EngineListener listener) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletionStage<Void> order(Target target, TargetOrder order) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletionStage<Void> transferBlocks(
                Target target, OrganisationId organisation, BlockTransfer transfer) {
            throw new UnsupportedOperationException();
        }
    }
}
