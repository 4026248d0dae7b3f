package org.bergamothoist.core.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FeedMirrorTest {

    private final List<String> changes = new ArrayList<>();
    private FeedMirror mirror;

    @BeforeEach
    void create() {
        mirror =
                new FeedMirror((feed, record) -> changes.add(record.key() + "@" + record.offset()));
    }

    private static FeedRecord put(String key, long offset) {
        return new FeedRecord(key, offset, Optional.of(new byte[] {1}));
    }

    private static FeedRecord tombstone(String key, long offset) {
        return new FeedRecord(key, offset, Optional.empty());
    }

    @ParameterizedTest
    @CsvSource({"5,4,1", "5,5,1", "5,6,2"})
    void appliesOnlyNewerRecordsOfAKey(long first, long second, int expectedChanges) {
        mirror.apply(Feed.TARGETS, List.of(put("a", first)));
        mirror.apply(Feed.TARGETS, List.of(put("a", second)));
        assertThat(changes).hasSize(expectedChanges);
    }

    @Test
    void olderRecordDoesNotRestoreADeletedKey() {
        mirror.apply(Feed.TARGETS, List.of(put("a", 3), tombstone("a", 7)));
        mirror.apply(Feed.TARGETS, List.of(put("a", 6)));
        assertThat(changes).containsExactly("a@3", "a@7");
    }

    @Test
    void keyMissingFromAListingIsDeleted() {
        mirror.apply(Feed.TARGETS, List.of(put("a", 3), put("b", 4)));
        mirror.apply(Feed.TARGETS, new FeedSource.Listing(List.of(put("b", 4)), 9));
        assertThat(changes).containsExactly("a@3", "b@4", "a@8");
        assertThat(mirror.recordsAfter(Feed.TARGETS, new LogPosition(0, 4)))
                .singleElement()
                .matches(r -> r.value().isEmpty());
    }

    @Test
    void outdatedListingDoesNotDeleteNewerKeys() {
        mirror.apply(Feed.TARGETS, List.of(put("a", 30)));
        mirror.apply(Feed.TARGETS, new FeedSource.Listing(List.of(), 20));
        assertThat(changes).containsExactly("a@30");
    }

    @Test
    void returnsRecordsAboveAnOffset() {
        List<FeedRecord> records = List.of(put("a", 1), put("b", 2), put("c", 3));
        mirror.apply(Feed.OPERATOR, new FeedSource.Page(records, 4));
        assertThat(mirror.recordsAfter(Feed.OPERATOR, new LogPosition(0, 1)))
                .extracting(FeedRecord::key)
                .containsExactly("b", "c");
        assertThat(mirror.position(Feed.OPERATOR)).isEqualTo(new LogPosition(0, 3));
        assertThat(mirror.position(Feed.TARGETS)).isEqualTo(new LogPosition(0, -3));
    }

    /**
     * Guards against a change that is taken for a renewal because a listing hid the one before it,
     * so that daemons that saw that one never learn of its reversal.
     */
    @ParameterizedTest
    @CsvSource({"true,1", "false,0"})
    void leavesOutRenewalsOnlyOfAnUninterruptedRead(boolean listed, int expected) {
        FeedMirror renewing =
                new FeedMirror(
                        new FeedMirror.FeedListener() {
                            @Override
                            public void onRecord(Feed feed, FeedRecord record) {}

                            @Override
                            public boolean isRenewal(Feed feed, FeedRecord a, FeedRecord b) {
                                return true;
                            }
                        });
        renewing.apply(Feed.TARGETS, new FeedSource.Page(List.of(put("a", 1)), 2));
        if (listed) {
            renewing.apply(Feed.TARGETS, new FeedSource.Listing(List.of(put("a", 6)), 7));
        }
        renewing.apply(Feed.TARGETS, new FeedSource.Page(List.of(put("a", 7)), 8));
        assertThat(renewing.recordsAfter(Feed.TARGETS, new LogPosition(0, 3))).hasSize(expected);
        assertThat(renewing.position(Feed.TARGETS)).isEqualTo(new LogPosition(0, 7));
    }
}
