package org.bergamothoist.core.platform;

/**
 * A change of an engine's prefix cache.
 *
 * @param sequence sequence number, which increases by 1 for each event of an incarnation
 * @param blockHash chained hash of the block
 */
public record CacheEvent(long sequence, Kind kind, long blockHash) {

    /** What happened to the block. */
    public enum Kind {
        /** The block was stored. */
        STORED,
        /** The block was evicted. */
        REMOVED
    }
}
