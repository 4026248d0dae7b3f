package org.bergamothoist.core.platform;

import java.util.List;
import org.bergamothoist.core.identity.ModelKey;

/** Names blocks that an engine shall export to the KV cache store or import from it. */
public record BlockTransfer(Direction direction, ModelKey modelKey, List<Long> blockHashes) {

    public BlockTransfer {
        blockHashes = List.copyOf(blockHashes);
    }

    /** Where the blocks go. */
    public enum Direction {
        /** From the engine to the store. */
        EXPORT,
        /** From the store to the engine. */
        IMPORT
    }
}
