package org.bergamothoist.core.feed;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** Reads feeds from the platform's store. */
public interface FeedSource {

    /**
     * Consecutive records from an offset on.
     *
     * @param next offset at which to continue
     */
    record Page(List<FeedRecord> records, long next) {}

    /**
     * The newest record of each key.
     *
     * @param end offset at which to continue; records below it are covered by the listing
     */
    record Listing(List<FeedRecord> records, long end) {}

    /**
     * Reads records from an offset on. The result fails with {@link ExpiredOffsetException} if
     * records from that offset are no longer retained.
     *
     * @param from offset of the first record
     * @param wait maximum time to wait for a record if there is none yet (long polling)
     */
    CompletionStage<Page> read(Feed feed, long from, Duration wait);

    /** Lists the newest record of each key. */
    CompletionStage<Listing> list(Feed feed);
}
