package org.bergamothoist.core.platform;

import java.util.List;
import org.bergamothoist.core.identity.EngineIncarnation;

/**
 * All blocks that an engine holds.
 *
 * @param sequence sequence number of the last event that the snapshot covers
 */
public record CacheSnapshot(EngineIncarnation incarnation, long sequence, List<Long> blockHashes) {

    public CacheSnapshot {
        blockHashes = List.copyOf(blockHashes);
    }
}
