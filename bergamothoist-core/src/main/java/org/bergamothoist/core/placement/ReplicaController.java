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
 * Copies hot prefixes between engines by way of the KV cache store, and saves those of a leaving
 * engine. A transfer that fails costs nothing but recomputation. Confined to the control thread.
 */
public final class ReplicaController {

    /** Time within which the same prefix is not copied to the same engine again. */
    static final Duration REPEAT_AFTER = Duration.ofSeconds(5);

    /** Transfers that may run at once; more would compete with requests for the engines' memory. */
    static final int MAXIMUM_OPEN = 8;

    private static final int REMEMBERED_PREFIXES = 2_000;
    private static final int HOLDERS_CONSIDERED = 4;

    private final Parts parts;
    private final Map<Long, Prefix> routed = boundedMap();
    private final Map<Copy, Instant> requested = boundedMap();
    private int open;

    /** Creates a controller. */
    public ReplicaController(Parts parts) {
        this.parts = parts;
    }

    /** What the controller works with. */
    public record Parts(
            EngineClient engineClient,
            CacheStore cacheStore,
            CacheIndex index,
            Function<TargetId, Optional<Target>> targets,
            Scheduler scheduler,
            InstantSource clock,
            Timeline timeline) {}

    private record Prefix(OrganisationId organisation, ModelKey modelKey, BlockHashChain chain) {}

    private record Copy(long deepestBlock, TargetId target) {}

    private static <K, V> Map<K, V> boundedMap() {
        return new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > REMEMBERED_PREFIXES;
            }
        };
    }

    /** Remembers whose prefix a routed prompt has, since the index knows hashes only. */
    public void onRouted(OrganisationId organisation, ModelKey modelKey, BlockHashChain chain) {
        if (chain.length() > 0) {
            routed.put(chain.hash(chain.length() - 1), new Prefix(organisation, modelKey, chain));
        }
    }

    /** Copies the prefix to the engine, from the store or by the store from another engine. */
    public void replicate(
            OrganisationId organisation, ModelKey modelKey, BlockHashChain chain, Target to) {
        if (chain.length() == 0 || open >= MAXIMUM_OPEN) {
            return;
        }
        Copy copy = new Copy(chain.hash(chain.length() - 1), to.id());
        Instant now = parts.clock().instant();
        Instant last = requested.get(copy);
        if (last != null && now.isBefore(last.plus(REPEAT_AFTER))) {
            return;
        }
        requested.put(copy, now);
        Prefix prefix = new Prefix(organisation, modelKey, chain);
        open++;
        parts.cacheStore()
                .storedBlocks(organisation, modelKey, blocks(chain, chain.length()))
                .whenComplete(
                        (stored, failure) ->
                                parts.scheduler()
                                        .execute(
                                                () -> {
                                                    open--;
                                                    if (failure == null) {
                                                        copy(prefix, stored, to);
                                                    }
                                                }));
    }

    private void copy(Prefix prefix, int stored, Target to) {
        if (stored >= prefix.chain().length()) {
            transfer(prefix, Direction.IMPORT, stored, to);
            return;
        }
        Optional<Target> holder = bestHolder(prefix.chain(), to.id());
        int held =
                holder.map(target -> parts.index().matchedBlocks(target.id(), prefix.chain()))
                        .orElse(0);
        if (held <= stored) {
            if (stored > 0) {
                transfer(prefix, Direction.IMPORT, stored, to);
            }
            return;
        }
        transfer(prefix, Direction.EXPORT, held, holder.get())
                .whenComplete(
                        (done, failure) ->
                                parts.scheduler()
                                        .execute(
                                                () -> {
                                                    if (failure == null) {
                                                        transfer(
                                                                prefix, Direction.IMPORT, held, to);
                                                    }
                                                }));
    }

    private Optional<Target> bestHolder(BlockHashChain chain, TargetId except) {
        return parts.index().holders(chain, HOLDERS_CONSIDERED).stream()
                .filter(target -> !target.equals(except))
                .max(Comparator.comparingInt(target -> parts.index().matchedBlocks(target, chain)))
                .flatMap(parts.targets());
    }

    /** Exports the remembered prefixes that a leaving engine holds. */
    public void drain(Target leaving) {
        for (Prefix prefix : List.copyOf(routed.values())) {
            int held = parts.index().matchedBlocks(leaving.id(), prefix.chain());
            if (held > 0) {
                transfer(prefix, Direction.EXPORT, held, leaving);
            }
        }
    }

    private CompletionStage<Void> transfer(
            Prefix prefix, Direction direction, int blockCount, Target target) {
        parts.timeline()
                .record(
                        EventKind.REPLICA_REQUESTED,
                        target.id().toString(),
                        direction + " of " + blockCount + " blocks");
        return parts.engineClient()
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
