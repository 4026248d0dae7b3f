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
 * <p>A record is only applied if its position is after that of the known record of its key, so that
 * neither a delayed page nor an outdated replica of another daemon can undo a newer record.
 *
 * <p>When the store comes back from an older copy, what is known precedes all positions of the new
 * era. It is kept until a record that does not state an earlier state replaces it: the copy may
 * contain older records, or none at all. All records of a feed are of the era of its position, and
 * no feed goes back to an earlier era.
 */
public final class FeedMirror {

    /**
     * Number of a feed's keys above which the oldest tombstone is evicted. Tombstones are kept
     * because an older record would otherwise restore a deleted key.
     */
    private static final int TOMBSTONE_EVICTION_THRESHOLD = 2_000;

    /**
     * Offset of records that were known before the store fell back; an empty listing ends at -1.
     */
    private static final long RETAINED_OFFSET = -2;

    /** Offset of a position that precedes all records, retained ones included. */
    private static final long INITIAL_OFFSET = RETAINED_OFFSET - 1;

    private final FeedListener listener;
    private final Map<Feed, Map<String, KnownRecord>> recordsByFeed = new EnumMap<>(Feed.class);
    private final Map<Feed, LogPosition> positions = new EnumMap<>(Feed.class);

    /** Creates an empty replica. */
    public FeedMirror(FeedListener listener) {
        this.listener = listener;
        for (Feed feed : Feed.values()) {
            recordsByFeed.put(feed, new LinkedHashMap<>());
            positions.put(feed, new LogPosition(0, INITIAL_OFFSET));
        }
    }

    /**
     * The newest known record of a key.
     *
     * @param changedAt position since which the key's records only renew their content
     * @param retained whether the record is of an era in which the store has lost it, or may have
     */
    private record KnownRecord(FeedRecord record, LogPosition changedAt, boolean retained) {}

    /** Receives changes of the replica. */
    @FunctionalInterface
    public interface FeedListener {

        /** Handles a record that is newer than the known one of its key. */
        void onRecord(Feed feed, FeedRecord record);

        /**
         * Returns whether a record says nothing but what the one before it of the same key says, so
         * that a replica that has the one before can do without it.
         */
        default boolean isRenewal(Feed feed, FeedRecord before, FeedRecord record) {
            return false;
        }

        /**
         * Returns whether a record states an earlier state of its key than another one, whatever
         * their positions. Used where the store may have lost the other one.
         */
        default boolean isEarlierState(Feed feed, FeedRecord record, FeedRecord other) {
            return false;
        }
    }

    /**
     * Continues with a feed of which the store may have lost the newest records, from an offset on
     * that is given out again. All that is known is retained. Ignored if the feed is of that era or
     * a later one already, which another daemon can have told.
     *
     * @param era era of the records that follow, or 0 if the store announces none
     */
    public void restart(Feed feed, long era) {
        boolean begun = era > 0 && era == position(feed).era();
        if (begun || isEarlierEra(feed, era)) {
            return;
        }
        LogPosition position = new LogPosition(era, RETAINED_OFFSET);
        recordsByFeed
                .get(feed)
                .replaceAll(
                        (key, known) ->
                                new KnownRecord(
                                        new FeedRecord(key, position, known.record().value()),
                                        position,
                                        true));
        positions.put(feed, new LogPosition(era, INITIAL_OFFSET));
    }

    /** Returns whether an era is before that of a feed, so that nothing in it is up to date. */
    public boolean isEarlierEra(Feed feed, long era) {
        return era < position(feed).era();
    }

    /** Applies records that are newer than the known ones of their keys. */
    public void apply(Feed feed, Collection<FeedRecord> records) {
        records.forEach(record -> apply(feed, record, false));
    }

    /** Applies a page that continues the last listing or page, unless it is of an earlier era. */
    public void apply(Feed feed, FeedSource.Page page) {
        if (isEarlierEra(feed, page.next().era())) {
            return;
        }
        restartIfLater(feed, page.next().era());
        page.records().forEach(record -> apply(feed, record, true));
        advance(feed, page.next().previous());
    }

    /**
     * Applies the records that a replica of another daemon has after {@link #position}, or all of
     * its records. Those that precede what is known only count if they state a later state.
     *
     * @param position position up to which that replica has all records, or empty if unknown
     */
    public void applyRelayed(
            Feed feed, Collection<FeedRecord> records, Optional<LogPosition> position) {
        position.ifPresent(known -> restartIfLater(feed, known.era()));
        records.forEach(record -> applyRelayed(feed, record));
        position.ifPresent(known -> advance(feed, known));
    }

    private void restartIfLater(Feed feed, long era) {
        if (era > position(feed).era()) {
            restart(feed, era);
        }
    }

    /**
     * Applies a relayed record. It is retained, since the other replica may have retained it or its
     * later state, except for a deletion, after which a key may be written again as it was.
     */
    private void applyRelayed(Feed feed, FeedRecord record) {
        KnownRecord before = recordsByFeed.get(feed).get(record.key());
        LogPosition position = position(feed);
        if (before == null && !record.position().isAfter(position)) {
            applyMissing(feed, record, new LogPosition(position.era(), RETAINED_OFFSET));
        } else if (before == null) {
            acceptRelayed(feed, record, record.position());
        } else if (isWithdrawn(before.record(), record)) {
            accept(feed, record, record.position(), true);
        } else if (record.position().isAfter(before.record().position())) {
            if (before.retained() && listener.isEarlierState(feed, record, before.record())) {
                retain(feed, before.record(), record.position());
            } else {
                acceptRelayed(feed, record, record.position());
            }
        } else if (listener.isEarlierState(feed, before.record(), record)) {
            acceptRelayed(feed, record, before.record().position());
        }
    }

    /**
     * Applies a relayed record of a key that the store does not have. A target whose registration
     * was lost writes it again, and one that does not is gone.
     */
    private void applyMissing(Feed feed, FeedRecord record, LogPosition position) {
        if (feed != Feed.TARGETS) {
            acceptRelayed(feed, record, position);
        }
    }

    private void acceptRelayed(Feed feed, FeedRecord record, LogPosition position) {
        accept(
                feed,
                new FeedRecord(record.key(), position, record.value()),
                position,
                record.value().isPresent());
    }

    /**
     * Returns whether another replica knows that the key was deleted although the store has this
     * record: it comes from an older copy.
     */
    private static boolean isWithdrawn(FeedRecord record, FeedRecord relayed) {
        return relayed.value().isEmpty()
                && record.value().isPresent()
                && record.position().equals(relayed.position());
    }

    private void advance(Feed feed, LogPosition position) {
        positions.merge(feed, position, (before, after) -> after.isAfter(before) ? after : before);
    }

    /**
     * Applies a record.
     *
     * @param continuous whether this replica has seen all records of the key since the known one
     */
    private void apply(Feed feed, FeedRecord record, boolean continuous) {
        KnownRecord before = recordsByFeed.get(feed).get(record.key());
        if (before == null) {
            accept(feed, record, record.position(), false);
            return;
        }
        if (!record.position().isAfter(before.record().position())) {
            return;
        }
        if (before.retained() && listener.isEarlierState(feed, record, before.record())) {
            retain(feed, before.record(), record.position());
            return;
        }
        boolean renewal = continuous && listener.isRenewal(feed, before.record(), record);
        accept(feed, record, renewal ? before.changedAt() : record.position(), false);
    }

    /** Keeps what is known although a record of an earlier state has a later position. */
    private void retain(Feed feed, FeedRecord known, LogPosition position) {
        FeedRecord moved = new FeedRecord(known.key(), position, known.value());
        recordsByFeed.get(feed).put(known.key(), new KnownRecord(moved, position, true));
    }

    private void accept(Feed feed, FeedRecord record, LogPosition changedAt, boolean retained) {
        Map<String, KnownRecord> known = recordsByFeed.get(feed);
        known.remove(record.key());
        known.put(record.key(), new KnownRecord(record, changedAt, retained));
        evictOldestTombstone(known);
        listener.onRecord(feed, record);
    }

    private static void evictOldestTombstone(Map<String, KnownRecord> known) {
        if (known.size() <= TOMBSTONE_EVICTION_THRESHOLD) {
            return;
        }
        known.values().stream()
                .map(KnownRecord::record)
                .filter(record -> record.value().isEmpty())
                .findFirst()
                .ifPresent(record -> known.remove(record.key()));
    }

    /**
     * Applies a listing. Known keys that it does not contain are deleted if their records are older
     * than its end. What was retained is only deleted from the targets' feed: targets write again
     * what the store has lost, and one that does not is gone. A listing of an earlier era is
     * ignored.
     */
    public void apply(Feed feed, FeedSource.Listing listing) {
        if (isEarlierEra(feed, listing.end().era())) {
            return;
        }
        restartIfLater(feed, listing.end().era());
        apply(feed, listing.records());
        Set<String> listed = new HashSet<>();
        listing.records().forEach(record -> listed.add(record.key()));
        List<FeedRecord> tombstones =
                recordsByFeed.get(feed).values().stream()
                        .filter(known -> !known.retained() || feed == Feed.TARGETS)
                        .map(KnownRecord::record)
                        .filter(record -> record.value().isPresent())
                        .filter(record -> listing.end().isAfter(record.position()))
                        .filter(record -> !listed.contains(record.key()))
                        .map(record -> tombstone(record, listing.end()))
                        .toList();
        confirmDeletions(feed, listed, listing.end());
        apply(feed, tombstones);
        advance(feed, listing.end().previous());
    }

    /**
     * Moves the tombstones of keys that a listing lacks to its end. Another daemon may not have
     * seen the deletion yet, and relays the record before it.
     */
    private void confirmDeletions(Feed feed, Set<String> listed, LogPosition end) {
        recordsByFeed
                .get(feed)
                .replaceAll(
                        (key, known) -> {
                            FeedRecord record = known.record();
                            boolean deleted = record.value().isEmpty() && !listed.contains(key);
                            return deleted && end.isAfter(record.position())
                                    ? new KnownRecord(
                                            tombstone(record, end),
                                            known.changedAt(),
                                            known.retained())
                                    : known;
                        });
    }

    private static FeedRecord tombstone(FeedRecord record, LogPosition end) {
        LogPosition position = end.previous();
        return new FeedRecord(
                record.key(),
                position.isAfter(record.position()) ? position : record.position().next(),
                Optional.empty());
    }

    /** Returns the position up to which all records of a feed are known. */
    public LogPosition position(Feed feed) {
        return positions.get(feed);
    }

    /** Returns the known records that were read in the current era, so that the store has them. */
    public List<FeedRecord> storedRecords(Feed feed) {
        return recordsByFeed.get(feed).values().stream()
                .filter(known -> !known.retained())
                .map(KnownRecord::record)
                .toList();
    }

    /**
     * Returns the newest record of each key that has changed after the position; records that only
     * renew what a key's record said up to there are left out.
     */
    public List<FeedRecord> recordsAfter(Feed feed, LogPosition position) {
        return new ArrayList<>(
                recordsByFeed.get(feed).values().stream()
                        .filter(known -> known.changedAt().isAfter(position))
                        .map(KnownRecord::record)
                        .toList());
    }
}
