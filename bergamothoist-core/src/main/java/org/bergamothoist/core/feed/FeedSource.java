package org.bergamothoist.core.feed;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** Reads feeds from the platform's store. */
public interface FeedSource {

    /**
     * Consecutive records from an offset on.
     *
     * @param next position at which to continue
     */
    record Page(List<FeedRecord> records, LogPosition next) {

        /** Creates a page of a store that announces no era. */
        public Page(List<FeedRecord> records, long next) {
            this(records, new LogPosition(0, next));
        }
    }

    /**
     * The newest record of each key.
     *
     * @param end position at which to continue; records below it are covered by the listing
     */
    record Listing(List<FeedRecord> records, LogPosition end) {

        /** Creates a listing of a store that announces no era. */
        public Listing(List<FeedRecord> records, long end) {
            this(records, new LogPosition(0, end));
        }
    }

    /**
     * Reads records from an offset on. The result fails with {@link ExpiredOffsetException} if
     * records from that offset are no longer retained, and with {@link OutdatedAnswerException} if
     * the store has fallen back since the call was sent.
     *
     * @param from offset of the first record in the current era
     * @param wait maximum time to wait for a record if there is none yet (long polling)
     */
    CompletionStage<Page> read(Feed feed, long from, Duration wait);

    /** Lists the newest record of each key, all of one era. */
    CompletionStage<Listing> list(Feed feed);
}
