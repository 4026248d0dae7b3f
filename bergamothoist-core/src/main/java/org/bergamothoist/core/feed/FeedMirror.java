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
 * Keeps the newest known record of each key and passes changes on. Confined to the control thread.
 *
 * <p>Records of a key are taken in the order of their offsets only, so that neither a late page nor
 * another daemon's older view can undo a newer record.
 */
public final class FeedMirror {

    /** Dropped keys remembered for a feed, so that an older record does not bring them back. */
    private static final int MOST_DROPPED_KEYS = 2_000;

    private final FeedListener listener;
    private final Map<Feed, Map<String, FeedRecord>> newest = new EnumMap<>(Feed.class);

    /** Creates an empty mirror. */
    public FeedMirror(FeedListener listener) {
        this.listener = listener;
        for (Feed feed : Feed.values()) {
            newest.put(feed, new LinkedHashMap<>());
        }
    }

    /** Receives changes. */
    @FunctionalInterface
    public interface FeedListener {

        /** Takes a record that is newer than the known one of its key. */
        void onRecord(Feed feed, FeedRecord entry);
    }

    /** Takes records over that are newer than the known ones. */
    public void apply(Feed feed, Collection<FeedRecord> records) {
        records.forEach(entry -> apply(feed, entry));
    }

    private void apply(Feed feed, FeedRecord entry) {
        Map<String, FeedRecord> known = newest.get(feed);
        FeedRecord before = known.get(entry.key());
        if (before != null && before.offset() >= entry.offset()) {
            return;
        }
        known.remove(entry.key());
        known.put(entry.key(), entry);
        forgetDropped(known);
        listener.onRecord(feed, entry);
    }

    private static void forgetDropped(Map<String, FeedRecord> known) {
        if (known.size() <= MOST_DROPPED_KEYS) {
            return;
        }
        known.values().stream()
                .filter(entry -> entry.value().isEmpty())
                .findFirst()
                .ifPresent(entry -> known.remove(entry.key()));
    }

    /** Takes a listing over: known keys that it lacks and that are older than its end are gone. */
    public void apply(Feed feed, FeedSource.Listing listing) {
        apply(feed, listing.records());
        Set<String> listed = new HashSet<>();
        listing.records().forEach(entry -> listed.add(entry.key()));
        List<FeedRecord> gone =
                newest.get(feed).values().stream()
                        .filter(entry -> entry.value().isPresent())
                        .filter(entry -> entry.offset() < listing.end())
                        .filter(entry -> !listed.contains(entry.key()))
                        .map(entry -> dropped(entry, listing.end()))
                        .toList();
        apply(feed, gone);
    }

    private static FeedRecord dropped(FeedRecord entry, long end) {
        return new FeedRecord(entry.key(), Math.max(entry.offset() + 1, end - 1), Optional.empty());
    }

    /** Returns the newest offset of any key, or -1. */
    public long newestOffset(Feed feed) {
        return newest.get(feed).values().stream().mapToLong(FeedRecord::offset).max().orElse(-1);
    }

    /** Returns the newest records whose offsets are above the given one. */
    public List<FeedRecord> since(Feed feed, long offset) {
        return new ArrayList<>(
                newest.get(feed).values().stream()
                        .filter(entry -> entry.offset() > offset)
                        .toList());
    }
}
