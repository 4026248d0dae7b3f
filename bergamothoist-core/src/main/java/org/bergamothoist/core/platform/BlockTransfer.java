package org.bergamothoist.core.platform;

import java.util.List;
import org.bergamothoist.core.identity.ModelKey;

/**
 * A request to an engine to export blocks to the KV cache store or to import them from it.
 *
 * @param blockHashes chained hashes of the blocks
 */
public record BlockTransfer(Direction direction, ModelKey modelKey, List<Long> blockHashes) {

    public BlockTransfer {
        blockHashes = List.copyOf(blockHashes);
    }

    /** The direction of the transfer. */
    public enum Direction {
        /** From the engine to the store. */
        EXPORT,
        /** From the store to the engine. */
        IMPORT
    }
}
