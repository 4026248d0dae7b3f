package org.bergamothoist.core.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.bergamothoist.core.log.LogRecordFixtures.FIRST;
import static org.bergamothoist.core.log.LogRecordFixtures.daemon;
import static org.bergamothoist.core.log.LogRecordFixtures.joined;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.bergamothoist.core.peer.PeerMessage.LogTailRelay;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class LogTailTest {

    private static final Duration SECOND = Duration.ofSeconds(1);

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final InMemoryLog log = new InMemoryLog(time);
    private final InMemoryLog.Client client = log.client();
    private final SharedState state = new SharedState();
    private final LogTail tail = tail(client, state);
    private final List<Long> applied = new ArrayList<>();

    private LogTail tail(InMemoryLog.Client connection, SharedState target) {
        return new LogTail(connection, target, time, time, new Random(1), LogTailSettings.DEFAULT);
    }

    private void addRecords(int count) {
        for (int index = 0; index < count; index++) {
            log.add(joined(daemon("d" + log.entries().size() % 50, log.entries().size())));
        }
    }

    private SharedState replayTo(long offset) {
        SharedState replayed = new SharedState();
        log.entries().stream().filter(entry -> entry.offset() <= offset).forEach(replayed::apply);
        return replayed;
    }

    private void addCheckpoint(long covered) {
        SharedStateSnapshot snapshot = replayTo(covered).snapshot();
        log.add(new LogRecord.Checkpoint(FIRST, covered, SharedState.digest(snapshot), snapshot));
    }

    private void start() {
        tail.addListener((entry, result) -> applied.add(entry.offset()));
        tail.start(Duration.ZERO);
        time.advance(SECOND);
    }

    private void assertCaughtUp() {
        assertThat(state.snapshot()).isEqualTo(replayTo(log.entries().size()).snapshot());
        assertThat(tail.confirmedAge().orElseThrow()).isLessThanOrEqualTo(Duration.ofMillis(250));
    }

    @Test
    @DisplayName("guards against records applied twice, out of order or not at all")
    void appliesEachRecordOnce() {
        addRecords(600);
        CompletableFuture<Void> waiter = tail.whenApplied(601).toCompletableFuture();
        start();
        assertThat(waiter).isNotDone();
        addRecords(1);
        tail.readNow();
        time.advanceMillis(1);

        assertThat(waiter).isCompleted();
        assertThat(applied).hasSize(601).isSorted().doesNotHaveDuplicates();
        assertCaughtUp();
    }

    @Test
    @DisplayName("guards against starting from a later checkpoint that covers fewer records")
    void startsFromHighestCoveredOffset() {
        addRecords(700);
        addCheckpoint(650);
        addRecords(20);
        addCheckpoint(600);
        addRecords(10);
        log.expireBelow(640);
        start();

        assertThat(applied).first().isEqualTo(651L);
        assertCaughtUp();
    }

    @Test
    @DisplayName(
            "guards against starting from a corrupt checkpoint or one whose next record has"
                    + " expired")
    void waitsForSnapshotWithoutUsableCheckpoint() {
        addRecords(100);
        addCheckpoint(90);
        log.add(new LogRecord.Checkpoint(FIRST, 101, "bad", replayTo(101).snapshot()));
        log.expireBelow(95);
        start();

        assertThat(state.appliedOffset()).isZero();
        assertThat(tail.needsSnapshot()).isTrue();
        assertThat(tail.acceptSnapshot(replayTo(93).snapshot(), SECOND, SECOND)).isFalse();
        assertThat(tail.acceptSnapshot(replayTo(94).snapshot(), SECOND, SECOND)).isTrue();
        time.advance(SECOND);
        assertCaughtUp();
    }

    @Test
    @DisplayName(
            "guards against a daemon that cannot catch up after it fell behind the retained log")
    void recoversAfterFallingBehindRetention() {
        addRecords(10);
        start();
        client.down = true;
        addRecords(400);
        addCheckpoint(400);
        log.expireBelow(300);
        time.advance(SECOND.multipliedBy(5));
        assertThat(tail.isReachable()).isFalse();
        client.down = false;
        time.advance(SECOND.multipliedBy(3));

        assertThat(applied).containsSubsequence(10L, 401L);
        assertCaughtUp();
    }

    @Test
    @DisplayName("guards against missing a checkpoint written after the first search")
    void findsCheckpointWrittenWhileWaiting() {
        addRecords(600);
        log.expireBelow(100);
        start();
        addCheckpoint(600);
        time.advance(SECOND);
        assertCaughtUp();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    @DisplayName(
            "guards against late detection of an outage and against a high rate of failing reads")
    void backsOffDuringOutage(boolean hangs) {
        start();
        client.readsHang = hangs;
        client.down = !hangs;
        time.advance(Duration.ofMillis(2_300));
        assertThat(tail.isReachable()).isFalse();
        int readsBefore = client.reads;
        time.advance(Duration.ofSeconds(60));
        assertThat(client.reads - readsBefore).isBetween(14, 60);
        assertThat(tail.confirmedAge().orElseThrow()).isGreaterThan(Duration.ofSeconds(62));
    }

    @Test
    @DisplayName("guards against a single lost response counting as an outage")
    void singleFailedReadIsNoOutage() {
        start();
        client.down = true;
        tail.readNow();
        client.down = false;
        time.advanceMillis(100);
        assertThat(tail.isReachable()).isTrue();
    }

    @Test
    @DisplayName("guards against a relay that has a gap or ends early confirming the state")
    void appliesOnlyContiguousRelayedRecords() {
        client.down = true;
        addRecords(10);
        start();
        LogTail peer = tail(log.client(), new SharedState());
        peer.start(Duration.ZERO);
        time.advanceMillis(10);
        LogTailRelay withGap = peer.relayAfter(5, 100).orElseThrow();
        LogTailRelay firstRecords = new LogTailRelay(peer.entriesAfter(0, 4), 11, Duration.ZERO);
        LogTailRelay remaining = peer.relayAfter(2, 100).orElseThrow();

        tail.acceptRelay(withGap, SECOND);
        assertThat(state.appliedOffset()).isZero();
        tail.acceptRelay(firstRecords, SECOND);
        assertThat(state.appliedOffset()).isEqualTo(4);
        assertThat(tail.confirmedAge()).isEmpty();
        tail.acceptRelay(remaining, SECOND);
        assertThat(state.appliedOffset()).isEqualTo(10);
        assertThat(tail.confirmedAge()).contains(SECOND.plusMillis(10));
    }

    @Test
    @DisplayName("guards against an unbounded buffer and against records returned with a gap")
    void bufferIsBounded() {
        addRecords(5_000);
        start();
        assertThat(tail.entriesAfter(903, 10)).isEmpty();
        assertThat(tail.entriesAfter(904, 3))
                .extracting(LogEntry::offset)
                .containsExactly(905L, 906L, 907L);
        assertThat(tail.entriesAfter(4_999, 10)).hasSize(1);
        assertThat(tail.entriesAfter(5_000, 10)).isEmpty();
    }

    @Test
    @DisplayName("guards against a peer's older snapshot reverting the state")
    void refusesOlderSnapshot() {
        addRecords(10);
        start();
        client.down = true;
        assertThat(tail.acceptSnapshot(replayTo(9).snapshot(), SECOND, SECOND)).isFalse();
        assertThat(state.appliedOffset()).isEqualTo(10);
    }

    @Test
    @DisplayName("guards against polling that stops because a listener throws")
    void continuesPollingAfterListenerFailure() {
        tail.addListener(
                (entry, result) -> {
                    throw new IllegalStateException("listener failed");
                });
        addRecords(2);
        assertThatThrownBy(this::start).hasMessage("listener failed");
        assertThatThrownBy(() -> time.advance(SECOND)).hasMessage("listener failed");
        assertThat(state.appliedOffset()).isEqualTo(2);
    }

    @Test
    @DisplayName(
            "guards against an invalid confirmed age confirming the state or stopping the tail")
    void invalidAgesDoNotConfirm() {
        addRecords(2);
        Duration longest = Duration.ofSeconds(Long.MAX_VALUE);
        tail.acceptSnapshot(replayTo(1).snapshot(), longest, SECOND);
        tail.acceptSnapshot(replayTo(2).snapshot(), SECOND.negated(), SECOND);
        assertThat(state.appliedOffset()).isEqualTo(2);
        assertThat(tail.confirmedAge()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"0, false", "3, false", "5, false", "9, false", "0, true", "5, true", "9, true"})
    @DisplayName("guards against a state that goes on with records that the log has lost")
    void appliesNothingAfterTheLogHasFallenBack(int newRecords, boolean away) {
        addRecords(10);
        start();
        client.down = away;
        time.advance(SECOND);
        log.loseRecordsFrom(6);
        for (int index = 0; index < newRecords; index++) {
            log.add(joined(daemon("new-" + index, index)));
        }
        client.down = false;
        time.advance(SECOND.multipliedBy(10));
        SharedStateSnapshot stateAtFall = state.snapshot();
        addRecords(20);
        List<LogEntry> relayed = log.entries().subList(10, 20);
        tail.acceptRelay(new LogTailRelay(relayed, 21, Duration.ZERO), Duration.ZERO);
        int reads = client.reads;
        time.advance(SECOND.multipliedBy(10));

        assertThat(tail.hasFallenBack()).isTrue();
        assertThat(tail.isReachable()).isFalse();
        assertThat(tail.confirmedAge()).isEmpty();
        assertThat(tail.acceptSnapshot(replayTo(15).snapshot(), SECOND, SECOND)).isFalse();
        assertThat(state.snapshot()).isEqualTo(stateAtFall);
        assertThat(client.reads).isEqualTo(reads);
    }

    @Test
    @DisplayName("guards against an outage that is taken for a return from an older copy")
    void goesOnAfterAnOutageInWhichNothingWasLost() {
        addRecords(10);
        start();
        client.down = true;
        time.advance(SECOND.multipliedBy(3));
        addRecords(2);
        tail.acceptRelay(
                new LogTailRelay(log.entries().subList(10, 11), 12, SECOND), Duration.ZERO);
        client.down = false;
        time.advance(SECOND.multipliedBy(5));

        assertThat(tail.hasFallenBack()).isFalse();
        assertCaughtUp();
    }

    @Test
    @DisplayName("guards against a tail that stops at pages of one record")
    void readsOnWhenPagesHaveOneRecord() {
        client.longestPage = 1;
        addRecords(10);
        start();
        addRecords(5);
        time.advance(SECOND.multipliedBy(2));
        assertCaughtUp();
    }

    @Test
    @DisplayName("guards against reading a large record again and again")
    void readsACheckpointAgainOnlyAfterAFailedRead() {
        addRecords(10);
        addCheckpoint(10);
        start();
        time.advance(SECOND);
        int served = client.recordsRead;
        time.advance(SECOND);
        assertThat(client.recordsRead).isEqualTo(served);
        client.down = true;
        time.advance(SECOND);
        client.down = false;
        time.advance(SECOND.multipliedBy(5));
        assertThat(client.recordsRead).isEqualTo(served + 1);
    }
}
