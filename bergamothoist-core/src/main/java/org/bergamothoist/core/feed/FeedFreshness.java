package org.bergamothoist.core.feed;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * Bounds the age of records that a feed delivers. Records that arrive while the feed is read
 * without interruption are new; after an interruption they may be as old as the last read before
 * it. Confined to the control thread.
 */
public final class FeedFreshness {

    private final Duration longestRead;
    private final InstantSource clock;
    private Instant lastReadAt;

    /**
     * Creates the freshness of a feed that is about to be read.
     *
     * @param longestRead longest time between two reads of an uninterrupted feed
     */
    public FeedFreshness(Duration longestRead, InstantSource clock) {
        this.longestRead = longestRead;
        this.clock = clock;
        this.lastReadAt = clock.instant();
    }

    /** Records that the feed was read to its end. */
    public void recordRead() {
        lastReadAt = clock.instant();
    }

    /** Returns when the feed was last read to its end. */
    public Instant lastReadAt() {
        return lastReadAt;
    }

    /** Returns the earliest time at which records that arrive now can have been published. */
    public Instant earliestPublication() {
        Instant now = clock.instant();
        boolean interrupted = now.isAfter(lastReadAt.plus(longestRead));
        return interrupted ? lastReadAt : now;
    }
}
