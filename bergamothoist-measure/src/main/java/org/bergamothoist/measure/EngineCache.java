package org.bergamothoist.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import org.bergamothoist.core.prompt.BlockHashChain;

/**
 * The KV memory of a fake engine: cached blocks, evicted in LRU order unless a stream uses them.
 */
final class EngineCache {

    private final int memoryBlocks;
    private final LongConsumer onStored;
    private final LongConsumer onRemoved;
    private final Map<Long, Integer> uses = new HashMap<>();
    private final LinkedHashSet<Long> evictable = new LinkedHashSet<>();
    private int reserved;

    EngineCache(int memoryBlocks, LongConsumer onStored, LongConsumer onRemoved) {
        this.memoryBlocks = memoryBlocks;
        this.onStored = onStored;
        this.onRemoved = onRemoved;
    }

    boolean holds(long hash) {
        return uses.containsKey(hash);
    }

    int matched(BlockHashChain chain) {
        int matched = 0;
        while (matched < chain.length() && holds(chain.hash(matched))) {
            matched++;
        }
        return matched;
    }

    List<Long> blocks() {
        return new ArrayList<>(uses.keySet());
    }

    /**
     * Reserves memory for the blocks of the chain that are not cached and for private blocks, and
     * keeps the cached ones from eviction.
     *
     * @return the cached leading blocks, or -1 if streams use too much memory
     */
    int reserve(BlockHashChain chain, int privateBlocks) {
        int matched = matched(chain);
        for (int index = 0; index < matched; index++) {
            use(chain.hash(index));
        }
        int needed = chain.length() - matched + privateBlocks;
        if (uses.size() - evictable.size() + reserved + needed > memoryBlocks) {
            release(chain, matched);
            return -1;
        }
        reserved += needed;
        evictDownTo(memoryBlocks - reserved);
        return matched;
    }

    private void evictDownTo(int blocks) {
        Iterator<Long> oldest = evictable.iterator();
        while (uses.size() > blocks && oldest.hasNext()) {
            long hash = oldest.next();
            oldest.remove();
            uses.remove(hash);
            onRemoved.accept(hash);
        }
    }

    /** Turns the reservation for the chain's computed blocks into cached blocks. */
    void store(BlockHashChain chain, int matched) {
        for (int index = matched; index < chain.length(); index++) {
            long hash = chain.hash(index);
            reserved--;
            if (!holds(hash)) {
                onStored.accept(hash);
            }
            use(hash);
        }
    }

    private void use(long hash) {
        uses.merge(hash, 1, Integer::sum);
        evictable.remove(hash);
    }

    /** Ends the use of the first blocks of the chain; the deepest ones are evicted first. */
    void release(BlockHashChain chain, int blocks) {
        for (int index = blocks - 1; index >= 0; index--) {
            long hash = chain.hash(index);
            if (uses.merge(hash, -1, Integer::sum) == 0) {
                evictable.add(hash);
            }
        }
    }

    void releasePrivate(int privateBlocks) {
        reserved -= privateBlocks;
    }

    void clear() {
        uses.clear();
        evictable.clear();
        reserved = 0;
    }
}
