package org.bergamothoist.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.cache.CacheIndex;
import org.bergamothoist.core.cache.CacheIndexSettings;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.platform.BlockTransfer.Direction;
import org.bergamothoist.core.platform.PlatformException;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetKind;
import org.bergamothoist.core.prompt.BlockHashChain;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.bergamothoist.core.timeline.BoundedTimeline;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ReplicaControllerTest {

    private static final OrganisationId ORGANISATION = new OrganisationId("clinic");
    private static final ModelKey KEY = new ModelKey("model", "base", "v1");
    private static final BlockHashChain CHAIN = new BlockHashChain(new long[] {1, 2, 3}, 14, 4);

    private final VirtualTimeScheduler time =
            new VirtualTimeScheduler(Instant.EPOCH.plusSeconds(100));
    private final CacheIndex index =
            new CacheIndex(CacheIndexSettings.standard(), time, (guarantee, holds, detail) -> {});
    private final TransferRecorder engines = new TransferRecorder();
    private final Target holder = target("engine-1");
    private final Target other = target("engine-2");
    private CompletionStage<Integer> stored = CompletableFuture.completedFuture(0);
    private ReplicaController controller;

    private static Target target(String name) {
        return new Target(
                new TargetId(name), TargetKind.MODEL_ENGINE, "llm", "127.0.0.1", 1, "biel-a");
    }

    @BeforeEach
    void setUp() {
        index.observeIncarnation(holder.id(), new EngineIncarnation("one"));
        index.onDispatch(holder.id(), CHAIN);
        List<Target> targets = List.of(holder, other);
        controller =
                new ReplicaController(
                        new ReplicaController.Dependencies(
                                engines,
                                (organisation, key, chain) -> stored,
                                index,
                                id -> targets.stream().filter(t -> t.id().equals(id)).findFirst(),
                                time,
                                time,
                                new BoundedTimeline(new DaemonId("entry-1", 1), time)));
    }

    private List<String> replicate() {
        controller.replicate(ORGANISATION, KEY, CHAIN, other);
        time.runDueTasks();
        return engines.transfers;
    }

    /** Guards against importing blocks that no engine has exported. */
    @Test
    void exportsFromHolderBeforeImporting() {
        assertThat(replicate())
                .containsExactly("engine-1 EXPORT [1, 2, 3]", "engine-2 IMPORT [1, 2, 3]");
    }

    /** Guards against exporting blocks that the store already has. */
    @Test
    void importsDirectlyWhenStoreHasAllBlocks() {
        stored = CompletableFuture.completedFuture(3);
        assertThat(replicate()).containsExactly("engine-2 IMPORT [1, 2, 3]");
    }

    /** Guards against requesting transfers while the store is unavailable. */
    @Test
    void transfersNothingWhenStoreIsDown() {
        stored = CompletableFuture.failedFuture(new PlatformException("store is down"));
        assertThat(replicate()).isEmpty();
    }

    /** Guards against a transfer for every request that uses a hot prefix. */
    @Test
    void copiesSamePrefixOncePerInterval() {
        stored = CompletableFuture.completedFuture(3);
        replicate();
        assertThat(replicate()).hasSize(1);
        time.advance(ReplicaController.MINIMUM_COPY_INTERVAL.plus(Duration.ofMillis(1)));
        assertThat(replicate()).hasSize(2);
    }

    /** Guards against losing the hot blocks of a leaving engine. */
    @Test
    void exportsPrefixesOfLeavingEngine() {
        controller.rememberPrefix(ORGANISATION, KEY, CHAIN);
        controller.exportPrefixes(other);
        assertThat(engines.transfers).isEmpty();
        controller.exportPrefixes(holder);
        assertThat(engines.transfers)
                .containsExactly("engine-1 " + Direction.EXPORT + " [1, 2, 3]");
    }

    /** Records transfers and completes them immediately. */
    private static final class TransferRecorder extends UnsupportedEngineClient {

        private final List<String> transfers = new ArrayList<>();

        @Override
        public CompletionStage<Void> transferBlocks(
                Target target,
                OrganisationId organisation,
                org.bergamothoist.core.platform.BlockTransfer transfer) {
            transfers.add(target.id() + " " + transfer.direction() + " " + transfer.blockHashes());
            return CompletableFuture.completedFuture(null);
        }
    }
}
