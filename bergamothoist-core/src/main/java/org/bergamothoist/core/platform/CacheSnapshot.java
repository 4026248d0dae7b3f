package org.bergamothoist.core.platform;

import java.util.List;
import org.bergamothoist.core.identity.EngineIncarnation;

/**
 * All blocks in an engine's prefix cache.
 *
 * @param sequence sequence number of the last cache event that the snapshot includes
 * @param blockHashes chained hashes of the blocks
 */
public record CacheSnapshot(EngineIncarnation incarnation, long sequence, List<Long> blockHashes) {

    public CacheSnapshot {
        blockHashes = List.copyOf(blockHashes);
    }
}
