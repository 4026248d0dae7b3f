package org.bergamothoist.core.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests a replica whose store comes back from an older copy. */
class FeedMirrorEraTest {

    private static final LogPosition BEFORE_ALL = new LogPosition(0, Long.MIN_VALUE);

    /** State up to which a deleted key was known. */
    private static final int ENDED_STATE = 5;

    private final List<String> changes = new ArrayList<>();
    private final FeedMirror mirror = new FeedMirror(new States(ENDED_STATE));

    /** Records state a number; a greater one is later. */
    private final class States implements FeedMirror.FeedListener {

        private final int endedState;

        private States(int endedState) {
            this.endedState = endedState;
        }

        @Override
        public void onRecord(Feed feed, FeedRecord record) {
            changes.add(record.key() + state(record));
        }

        @Override
        public boolean isEarlierState(Feed feed, FeedRecord record, FeedRecord other) {
            return record.value().isPresent()
                    && (other.value().isPresent()
                            ? state(record) < state(other)
                            : state(record) <= endedState);
        }
    }

    /** Returns the state that a record states, or -1 if it deletes the key. */
    private static int state(FeedRecord record) {
        return record.value().map(value -> (int) value[0]).orElse(-1);
    }

    private static FeedRecord record(String key, int state, long era, long offset) {
        Optional<byte[]> value =
                state < 0 ? Optional.empty() : Optional.of(new byte[] {(byte) state});
        return new FeedRecord(key, new LogPosition(era, offset), value);
    }

    private static FeedSource.Listing listing(long era, long end, FeedRecord... records) {
        return new FeedSource.Listing(List.of(records), new LogPosition(era, end));
    }

    private static FeedSource.Page page(long era, long next, FeedRecord... records) {
        return new FeedSource.Page(List.of(records), new LogPosition(era, next));
    }

    private int stateOf(Feed feed, String key) {
        return mirror.recordsAfter(feed, BEFORE_ALL).stream()
                .filter(record -> record.key().equals(key))
                .findFirst()
                .map(FeedMirrorEraTest::state)
                .orElse(-2);
    }

    /** Has the replica know a state of a key in era 1, at a high offset. */
    private void knowInFirstEra(Feed feed, int state) {
        mirror.apply(feed, listing(1, 50, record("k", state, 1, 49)));
        changes.clear();
    }

    /**
     * Guards against a state that the copy lacks and that goes back to an older one, and against a
     * record at a low offset of the new era that is taken for an old one.
     */
    @ParameterizedTest
    @CsvSource({"4,5", "5,5", "6,6"})
    void onlyLaterStatesOfTheNewEraReplaceTheKnownOne(int listed, int expected) {
        knowInFirstEra(Feed.OPERATOR, 5);
        mirror.restart(Feed.OPERATOR, 2);
        mirror.apply(Feed.OPERATOR, listing(2, 3, record("k", listed, 2, 2)));
        assertThat(stateOf(Feed.OPERATOR, "k")).isEqualTo(expected);
        assertThat(mirror.position(Feed.OPERATOR)).isEqualTo(new LogPosition(2, 2));
        mirror.apply(Feed.OPERATOR, page(2, 4, record("k", 7, 2, 3)));
        assertThat(stateOf(Feed.OPERATOR, "k")).isEqualTo(7);
    }

    /** Guards against a replica that another daemon's answer took to a later era and goes back. */
    @ParameterizedTest
    @CsvSource({"1,3", "2,3", "3,3", "4,4"})
    void noFeedGoesBackToAnEarlierEra(long era, long expected) {
        knowInFirstEra(Feed.TARGETS, 5);
        mirror.applyRelayed(
                Feed.TARGETS, List.of(record("k", 6, 3, 1)), Optional.of(new LogPosition(3, 1)));
        mirror.restart(Feed.TARGETS, era);
        assertThat(mirror.position(Feed.TARGETS).era()).isEqualTo(expected);
        assertThat(stateOf(Feed.TARGETS, "k")).isEqualTo(6);
    }

    /**
     * Guards against a target that is used for ever because a daemon that has not read its deletion
     * relays its record to one that has learned of the deletion in an earlier era.
     */
    @ParameterizedTest
    @CsvSource({"4,-1", "9,-1", "10,6"})
    void relayedRecordDoesNotUndoADeletionThatAListingConfirms(long offset, int expected) {
        FeedRecord deleted = record("k", -1, 1, 9);
        mirror.applyRelayed(Feed.TARGETS, List.of(deleted), Optional.of(deleted.position()));
        mirror.restart(Feed.TARGETS, 2);
        mirror.apply(Feed.TARGETS, listing(2, 10));
        mirror.applyRelayed(
                Feed.TARGETS,
                List.of(record("k", 6, 2, offset)),
                Optional.of(new LogPosition(2, offset)));
        assertThat(stateOf(Feed.TARGETS, "k")).isEqualTo(expected);
    }

    /**
     * Guards against records of an earlier era that are stored, and relayed with the offsets of a
     * time at which the store gave them out to other records.
     */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void ownReadsOfAnEarlierEraAreIgnored(boolean listed) {
        mirror.restart(Feed.TARGETS, 3);
        if (listed) {
            mirror.apply(Feed.TARGETS, listing(2, 9, record("k", 1, 2, 8)));
        } else {
            mirror.apply(Feed.TARGETS, page(2, 9, record("k", 1, 2, 8)));
        }
        assertThat(changes).isEmpty();
        assertThat(mirror.recordsAfter(Feed.TARGETS, BEFORE_ALL)).isEmpty();
        assertThat(mirror.position(Feed.TARGETS).offset()).isNegative();
    }

    /** Targets write again what was lost; operators' records stay in force until they do. */
    @ParameterizedTest
    @CsvSource({"OPERATOR,5", "TARGETS,-1", "DAEMONS,5"})
    void emptyListingOfTheNewEraDeletesOnlyRegistrations(Feed feed, int expected) {
        knowInFirstEra(feed, 5);
        mirror.restart(feed, 2);
        mirror.apply(feed, listing(2, 0));
        assertThat(stateOf(feed, "k")).isEqualTo(expected);
        assertThat(mirror.recordsAfter(feed, BEFORE_ALL))
                .allMatch(record -> record.position().era() == 2);
        mirror.apply(feed, page(2, 1, record("k", 5, 2, 0)));
        assertThat(stateOf(feed, "k")).isEqualTo(5);
    }

    /** Guards against a target that had left and is used again because the copy has it. */
    @ParameterizedTest
    @CsvSource({"5,-1", "6,6"})
    void deletedKeyComesBackOnlyWithALaterState(int listed, int expected) {
        knowInFirstEra(Feed.TARGETS, 5);
        mirror.apply(Feed.TARGETS, page(1, 51, record("k", -1, 1, 50)));
        mirror.restart(Feed.TARGETS, 2);
        mirror.apply(Feed.TARGETS, listing(2, 3, record("k", listed, 2, 2)));
        assertThat(stateOf(Feed.TARGETS, "k")).isEqualTo(expected);
    }

    /** Guards against a daemon that starts and uses a target that the others know to have left. */
    @Test
    void startedDaemonLearnsOfADeletionThatTheCopyLacks() {
        knowInFirstEra(Feed.TARGETS, 5);
        mirror.apply(Feed.TARGETS, page(1, 51, record("k", -1, 1, 50)));
        mirror.restart(Feed.TARGETS, 2);
        mirror.apply(Feed.TARGETS, listing(2, 3, record("k", 5, 2, 2)));
        FeedMirror started = new FeedMirror(new States(-1));
        started.apply(Feed.TARGETS, listing(2, 3, record("k", 5, 2, 2)));
        changes.clear();
        started.applyRelayed(
                Feed.TARGETS,
                mirror.recordsAfter(Feed.TARGETS, BEFORE_ALL),
                Optional.of(mirror.position(Feed.TARGETS)));
        assertThat(changes).containsExactly("k-1");
        started.apply(Feed.TARGETS, listing(2, 4, record("k", 5, 2, 2)));
        assertThat(changes).containsExactly("k-1");
    }

    /**
     * Guards against a daemon that read the copy and does not learn the lost state, whatever the
     * position at which the other daemon has it.
     */
    @ParameterizedTest
    @CsvSource({"1,49,9,9", "2,-2,9,9", "2,2,9,9", "2,2,2,3", "1,49,2,3", "2,5,4,4", "3,-2,9,9"})
    void relayedRecordAppliesIfItStatesALaterState(
            long era, long offset, int relayed, int expected) {
        mirror.apply(Feed.OPERATOR, listing(2, 4, record("k", 3, 2, 2)));
        mirror.applyRelayed(
                Feed.OPERATOR,
                List.of(record("k", relayed, era, offset)),
                Optional.of(new LogPosition(era, offset)));
        assertThat(stateOf(Feed.OPERATOR, "k")).isEqualTo(expected);
        mirror.apply(Feed.OPERATOR, listing(2, 9, record("k", 3, 2, 8)));
        assertThat(stateOf(Feed.OPERATOR, "k")).isEqualTo(expected);
    }

    /** Guards against the copy's listing that arrives after the answer of another daemon. */
    @ParameterizedTest
    @CsvSource({"-2", "2"})
    void relayedStateStaysWhenTheOwnListingArrivesLater(long offset) {
        mirror.applyRelayed(
                Feed.OPERATOR,
                List.of(record("k", 9, 2, offset)),
                Optional.of(new LogPosition(2, offset)));
        mirror.apply(Feed.OPERATOR, listing(2, 4, record("k", 3, 2, 3)));
        assertThat(stateOf(Feed.OPERATOR, "k")).isEqualTo(9);
    }

    /**
     * Guards against registrations that nothing ends any more because the store does not have them,
     * and against operators' records that are stored with an offset of an earlier era.
     */
    @ParameterizedTest
    @CsvSource({"OPERATOR,1,49,9", "OPERATOR,2,-2,9", "TARGETS,1,49,-2", "TARGETS,2,-2,-2"})
    void relayedKeyThatTheStoreLacks(Feed feed, long era, long offset, int expected) {
        mirror.apply(feed, listing(2, 4));
        mirror.applyRelayed(
                feed,
                List.of(record("k", 9, era, offset)),
                Optional.of(new LogPosition(era, offset)));
        assertThat(stateOf(feed, "k")).isEqualTo(expected);
        assertThat(mirror.recordsAfter(feed, BEFORE_ALL))
                .allMatch(record -> record.position().era() == 2);
        mirror.apply(feed, listing(2, 5));
        assertThat(stateOf(feed, "k")).isEqualTo(expected);
    }

    /** Guards against a target that ended, writes the same again, and is not used. */
    @Test
    void relayedDeletionDoesNotKeepTheSameStateAway() {
        mirror.applyRelayed(
                Feed.TARGETS, List.of(record("k", -1, 2, 5)), Optional.of(new LogPosition(2, 5)));
        mirror.apply(Feed.TARGETS, page(2, 7, record("k", 5, 2, 6)));
        assertThat(stateOf(Feed.TARGETS, "k")).isEqualTo(5);
    }

    /** Guards against an answer of an earlier era that moves a feed's position. */
    @ParameterizedTest
    @EnumSource(
            value = Feed.class,
            names = {"OPERATOR", "TARGETS"})
    void positionOfAnEarlierEraIsNotBelieved(Feed feed) {
        mirror.apply(feed, listing(2, 4));
        mirror.applyRelayed(feed, List.of(), Optional.of(new LogPosition(1, 49)));
        assertThat(mirror.position(feed)).isEqualTo(new LogPosition(2, 3));
    }

    /** Guards against a second transfer of all records when a daemon hears of the era by itself. */
    @Test
    void eraThatAnotherDaemonHasToldIsNotBegunAgain() {
        knowInFirstEra(Feed.OPERATOR, 3);
        mirror.applyRelayed(
                Feed.OPERATOR, List.of(record("k", 7, 2, 5)), Optional.of(new LogPosition(2, 5)));
        mirror.restart(Feed.OPERATOR, 2);
        assertThat(mirror.position(Feed.OPERATOR)).isEqualTo(new LogPosition(2, 5));
    }
}
