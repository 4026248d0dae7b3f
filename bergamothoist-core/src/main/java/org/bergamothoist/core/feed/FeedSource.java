package org.bergamothoist.core.feed;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** Reads feeds from the platform's store. */
public interface FeedSource {

    /**
     * Records from an offset on.
     *
     * @param next offset from which to go on
     */
    record Page(List<FeedRecord> records, long next) {}

    /**
     * The newest record of each key.
     *
     * @param end offset of the first record that may be missing
     */
    record Listing(List<FeedRecord> records, long end) {}

    /**
     * Reads records; fails with {@link ExpiredOffsetException} if the first has expired.
     *
     * @param wait longest time to wait for a record
     */
    CompletionStage<Page> read(Feed feed, long from, Duration wait);

    /** Lists the newest record of each key. */
    CompletionStage<Listing> list(Feed feed);
}
