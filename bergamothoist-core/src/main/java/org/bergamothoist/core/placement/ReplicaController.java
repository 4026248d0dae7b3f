package org.bergamothoist.core.placement;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.bergamothoist.core.cache.CacheIndex;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.platform.BlockTransfer;
import org.bergamothoist.core.platform.BlockTransfer.Direction;
import org.bergamothoist.core.platform.CacheStore;
import org.bergamothoist.core.platform.EngineClient;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.prompt.BlockHashChain;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.core.timeline.EventKind;
import org.bergamothoist.core.timeline.Timeline;

/**
 * Copies hot prefixes between engines through the KV cache store, and exports those of a leaving
 * engine to it. Transfers are best effort: after a failed one the blocks are recomputed. Confined
 * to the control thread.
 */
public final class ReplicaController {

    /** Minimum time between two copies of the same prefix to the same engine. */
    static final Duration MINIMUM_COPY_INTERVAL = Duration.ofSeconds(5);

    /**
     * Maximum number of open lookups in the store. Each can start a transfer, and more transfers
     * would compete with requests for the engines' memory.
     */
    static final int MAXIMUM_OPEN_LOOKUPS = 8;

    private static final int REMEMBERED_PREFIXES = 2_000;
    private static final int HOLDERS_CONSIDERED = 4;

    private final Dependencies dependencies;
    private final Map<Long, Prefix> prefixByLastBlock = boundedMap();
    private final Map<CopyKey, Instant> lastRequestedAt = boundedMap();
    private int openLookups;

    /** Creates a controller without remembered prefixes. */
    public ReplicaController(Dependencies dependencies) {
        this.dependencies = dependencies;
    }

    /** The components that the controller uses. */
    public record Dependencies(
            EngineClient engineClient,
            CacheStore cacheStore,
            CacheIndex index,
            Function<TargetId, Optional<Target>> targets,
            Scheduler scheduler,
            InstantSource clock,
            Timeline timeline) {}

    private record Prefix(OrganisationId organisation, ModelKey modelKey, BlockHashChain chain) {}

    private record CopyKey(long deepestBlock, TargetId target) {}

    private static <K, V> Map<K, V> boundedMap() {
        return new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > REMEMBERED_PREFIXES;
            }
        };
    }

    /**
     * Remembers the organisation and model of a dispatched prompt, which transfers need; the cache
     * index has only block hashes.
     */
    public void rememberPrefix(
            OrganisationId organisation, ModelKey modelKey, BlockHashChain chain) {
        if (chain.length() > 0) {
            prefixByLastBlock.put(
                    chain.hash(chain.length() - 1), new Prefix(organisation, modelKey, chain));
        }
    }

    /**
     * Copies the prefix to the engine: imports it from the store, after another engine has exported
     * it there if necessary. Does nothing if the same copy was requested recently or too many
     * lookups are open.
     */
    public void replicate(
            OrganisationId organisation,
            ModelKey modelKey,
            BlockHashChain chain,
            Target destination) {
        if (chain.length() == 0 || openLookups >= MAXIMUM_OPEN_LOOKUPS) {
            return;
        }
        CopyKey copyKey = new CopyKey(chain.hash(chain.length() - 1), destination.id());
        Instant now = dependencies.clock().instant();
        Instant lastRequest = lastRequestedAt.get(copyKey);
        if (lastRequest != null && now.isBefore(lastRequest.plus(MINIMUM_COPY_INTERVAL))) {
            return;
        }
        lastRequestedAt.put(copyKey, now);
        Prefix prefix = new Prefix(organisation, modelKey, chain);
        openLookups++;
        dependencies
                .cacheStore()
                .storedBlocks(organisation, modelKey, blocks(chain, chain.length()))
                .whenComplete(
                        (stored, failure) ->
                                dependencies
                                        .scheduler()
                                        .execute(
                                                () -> {
                                                    openLookups--;
                                                    if (failure == null) {
                                                        copyFromBestSource(
                                                                prefix, stored, destination);
                                                    }
                                                }));
    }

    private void copyFromBestSource(Prefix prefix, int stored, Target destination) {
        if (stored >= prefix.chain().length()) {
            transfer(prefix, Direction.IMPORT, stored, destination);
            return;
        }
        Optional<Target> holder = bestHolder(prefix.chain(), destination.id());
        int held =
                holder.map(
                                target ->
                                        dependencies
                                                .index()
                                                .matchedBlocks(target.id(), prefix.chain()))
                        .orElse(0);
        if (held <= stored) {
            if (stored > 0) {
                transfer(prefix, Direction.IMPORT, stored, destination);
            }
            return;
        }
        transfer(prefix, Direction.EXPORT, held, holder.get())
                .whenComplete(
                        (done, failure) ->
                                dependencies
                                        .scheduler()
                                        .execute(
                                                () -> {
                                                    if (failure == null) {
                                                        transfer(
                                                                prefix,
                                                                Direction.IMPORT,
                                                                held,
                                                                destination);
                                                    }
                                                }));
    }

    private Optional<Target> bestHolder(BlockHashChain chain, TargetId excluded) {
        return dependencies.index().holders(chain, HOLDERS_CONSIDERED).stream()
                .filter(target -> !target.equals(excluded))
                .max(
                        Comparator.comparingInt(
                                target -> dependencies.index().matchedBlocks(target, chain)))
                .flatMap(dependencies.targets());
    }

    /** Exports the remembered prefixes that a leaving engine holds to the store. */
    public void exportPrefixes(Target leaving) {
        for (Prefix prefix : List.copyOf(prefixByLastBlock.values())) {
            int held = dependencies.index().matchedBlocks(leaving.id(), prefix.chain());
            if (held > 0) {
                transfer(prefix, Direction.EXPORT, held, leaving);
            }
        }
    }

    private CompletionStage<Void> transfer(
            Prefix prefix, Direction direction, int blockCount, Target target) {
        dependencies
                .timeline()
                .record(
                        EventKind.REPLICA_REQUESTED,
                        target.id().toString(),
                        direction + " of " + blockCount + " blocks");
        return dependencies
                .engineClient()
                .transferBlocks(
                        target,
                        prefix.organisation(),
                        new BlockTransfer(
                                direction, prefix.modelKey(), blocks(prefix.chain(), blockCount)));
    }

    private static List<Long> blocks(BlockHashChain chain, int count) {
        List<Long> blocks = new ArrayList<>(count);
        for (int block = 0; block < count; block++) {
            blocks.add(chain.hash(block));
        }
        return blocks;
    }
}
