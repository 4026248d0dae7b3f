package org.bergamothoist.standin;

import java.util.List;
import java.util.concurrent.ConcurrentHashMap;

/** Counts in how many engines each block is cached, to measure wasted recomputation. */
final class CacheDirectory {

    private final ConcurrentHashMap<BlockCache.BlockKey, Integer> holders =
            new ConcurrentHashMap<>();

    void added(BlockCache.BlockKey key) {
        holders.merge(key, 1, Integer::sum);
    }

    void removed(BlockCache.BlockKey key) {
        holders.computeIfPresent(key, (ignored, count) -> count == 1 ? null : count - 1);
    }

    /** Returns how many blocks of the chain, from the given one on without a gap, are held. */
    int heldFrom(List<BlockCache.BlockKey> chain, int first) {
        int index = first;
        while (index < chain.size() && holders.containsKey(chain.get(index))) {
            index++;
        }
        return index - first;
    }
}
