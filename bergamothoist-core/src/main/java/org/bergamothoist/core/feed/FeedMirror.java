package org.bergamothoist.core.feed;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A replica of the feeds: keeps the newest known record of each key and notifies a listener of
 * changes. Confined to the control thread.
 *
 * <p>A record is only applied if its offset is above that of the known record of its key, so that
 * neither a delayed page nor an outdated replica of another daemon can undo a newer record.
 */
public final class FeedMirror {

    /**
     * Number of a feed's keys above which the oldest tombstone is evicted. Tombstones are kept
     * because an older record would otherwise restore a deleted key.
     */
    private static final int TOMBSTONE_EVICTION_THRESHOLD = 2_000;

    private final FeedListener listener;
    private final Map<Feed, Map<String, FeedRecord>> recordsByFeed = new EnumMap<>(Feed.class);

    /** Creates an empty replica. */
    public FeedMirror(FeedListener listener) {
        this.listener = listener;
        for (Feed feed : Feed.values()) {
            recordsByFeed.put(feed, new LinkedHashMap<>());
        }
    }

    /** Receives changes of the replica. */
    @FunctionalInterface
    public interface FeedListener {

        /** Handles a record that is newer than the known one of its key. */
        void onRecord(Feed feed, FeedRecord record);
    }

    /** Applies records that are newer than the known ones of their keys. */
    public void apply(Feed feed, Collection<FeedRecord> records) {
        records.forEach(record -> apply(feed, record));
    }

    private void apply(Feed feed, FeedRecord record) {
        Map<String, FeedRecord> known = recordsByFeed.get(feed);
        FeedRecord before = known.get(record.key());
        if (before != null && before.offset() >= record.offset()) {
            return;
        }
        known.remove(record.key());
        known.put(record.key(), record);
        evictOldestTombstone(known);
        listener.onRecord(feed, record);
    }

    private static void evictOldestTombstone(Map<String, FeedRecord> known) {
        if (known.size() <= TOMBSTONE_EVICTION_THRESHOLD) {
            return;
        }
        known.values().stream()
                .filter(record -> record.value().isEmpty())
                .findFirst()
                .ifPresent(record -> known.remove(record.key()));
    }

    /**
     * Applies a listing. Known keys that it does not contain are deleted if their records are older
     * than its end.
     */
    public void apply(Feed feed, FeedSource.Listing listing) {
        apply(feed, listing.records());
        Set<String> listed = new HashSet<>();
        listing.records().forEach(record -> listed.add(record.key()));
        List<FeedRecord> tombstones =
                recordsByFeed.get(feed).values().stream()
                        .filter(record -> record.value().isPresent())
                        .filter(record -> record.offset() < listing.end())
                        .filter(record -> !listed.contains(record.key()))
                        .map(record -> tombstone(record, listing.end()))
                        .toList();
        apply(feed, tombstones);
    }

    private static FeedRecord tombstone(FeedRecord record, long end) {
        return new FeedRecord(
                record.key(), Math.max(record.offset() + 1, end - 1), Optional.empty());
    }

    /** Returns the highest offset of a feed's known records, or -1 if there are none. */
    public long newestOffset(Feed feed) {
        return recordsByFeed.get(feed).values().stream()
                .mapToLong(FeedRecord::offset)
                .max()
                .orElse(-1);
    }

    /** Returns the newest record of each key if its offset is above the given one. */
    public List<FeedRecord> recordsAfter(Feed feed, long offset) {
        return new ArrayList<>(
                recordsByFeed.get(feed).values().stream()
                        .filter(record -> record.offset() > offset)
                        .toList());
    }
}
