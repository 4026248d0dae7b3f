package org.bergamothoist.core.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;
import static org.bergamothoist.core.log.LogRecordFixtures.organisation;
import static org.bergamothoist.core.log.LogRecordFixtures.sheet;

import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

class LogAppenderTest {

    private static final Duration DEADLINE = Duration.ofSeconds(5);

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final InMemoryLog log = new InMemoryLog(time);
    private final InMemoryLog.Client client = log.client();
    private final SharedState state = new SharedState();
    private final LogTail tail =
            new LogTail(client, state, time, time, new Random(1), LogTailSettings.DEFAULT);
    private final LogAppender appender = new LogAppender(client, tail, time);
    private final LogRecord record = sheet("biel", organisation("o", 0, 1));

    @BeforeEach
    void start() {
        tail.start(Duration.ZERO);
        time.advanceMillis(1);
    }

    private CompletableFuture<Long> append() {
        return appender.append(record, DEADLINE).toCompletableFuture();
    }

    @Test
    @DisplayName("guards against completion before the record is applied locally")
    void completesAfterRecordIsApplied() {
        CompletableFuture<Long> result = append();
        assertThat(result).isNotDone();
        time.advanceMillis(1);
        assertThat(result).isCompletedWithValue(1L);
        assertThat(state.appliedOffset()).isEqualTo(1);
    }

    @Test
    @DisplayName("guards against appending again after a lost response")
    void findsRecordAfterLostResponse() {
        client.losesResponses = true;
        CompletableFuture<Long> result = append();
        time.advanceMillis(300);
        assertThat(result).isCompletedWithValue(1L);
        assertThat(client.appends).isEqualTo(1);
    }

    @Test
    @DisplayName("guards against reporting a failed append as certainly not appended")
    void reportsNotConfirmedAndNeverAppendsAgain() {
        client.lateAppendDelay = DEADLINE.plusSeconds(1);
        CompletableFuture<Long> result = append();
        time.advance(DEADLINE);
        assertThat(catchThrowable(result::join))
                .hasCauseInstanceOf(AppendNotConfirmedException.class);
        time.advance(DEADLINE);
        assertThat(log.entries()).hasSize(1);
        assertThat(client.appends).isEqualTo(1);
    }

    @Test
    @DisplayName("guards against missing an append that takes effect late but before the deadline")
    void findsRecordAppendedLate() {
        client.lateAppendDelay = Duration.ofSeconds(3);
        CompletableFuture<Long> result = append();
        time.advance(DEADLINE);
        assertThat(result).isCompletedWithValue(1L);
    }

    @Test
    @DisplayName("guards against waiting for a record that a snapshot has skipped")
    void snapshotConfirmsKnownOffset() {
        client.readsHang = true;
        time.advanceMillis(300);
        CompletableFuture<Long> result = append();
        time.advanceMillis(1);
        SharedState peer = new SharedState();
        log.entries().forEach(peer::apply);
        tail.acceptSnapshot(peer.snapshot(), Duration.ZERO, Duration.ZERO);
        assertThat(result).isCompletedWithValue(1L);
    }

    @Test
    @DisplayName(
            "guards against a record that counts as applied because its offset was used before")
    void doesNotConfirmAnOffsetThatIsGivenOutAgain() {
        for (int index = 0; index < 3; index++) {
            log.add(sheet("other-" + index, organisation("o", 0, 1)));
        }
        time.advance(DEADLINE);
        log.loseRecordsFrom(1);
        CompletableFuture<Long> result = append();
        time.advanceMillis(1);
        assertThat(tail.hasFallenBack()).isTrue();
        time.advance(DEADLINE);
        assertThat(catchThrowable(result::join))
                .hasCauseInstanceOf(AppendNotConfirmedException.class);
    }
}
