package org.bergamothoist.core.platform;

/**
 * A change of an engine's prefix cache.
 *
 * @param sequence number of the event, growing by 1 within an incarnation
 * @param blockHash chained hash of the block
 */
public record CacheEvent(long sequence, Kind kind, long blockHash) {

    /** What happened to the block. */
    public enum Kind {
        /** The block is cached. */
        STORED,
        /** The block was evicted. */
        REMOVED
    }
}
