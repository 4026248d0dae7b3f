package org.bergamothoist.core.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bergamothoist.core.log.LogRecordFixtures.daemon;
import static org.bergamothoist.core.log.LogRecordFixtures.fingerprint;
import static org.bergamothoist.core.log.LogRecordFixtures.joined;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.ApplyResult.CheckpointSeen;
import org.bergamothoist.core.log.LogRecord.Checkpoint;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

class CheckpointWriterTest {

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final InMemoryLog log = new InMemoryLog(time);
    private final List<InMemoryLog.Client> clients = new ArrayList<>();
    private final List<ApplyResult.Comparison> comparisons = new ArrayList<>();

    @BeforeEach
    void startThreeDaemons() {
        for (String name : List.of("a", "b", "c")) {
            DaemonId daemon = daemon(name, 1);
            log.add(joined(daemon));
            InMemoryLog.Client client = log.client();
            clients.add(client);
            Random random = new Random(daemon.hashCode());
            SharedState state = new SharedState();
            LogTail tail = new LogTail(client, state, time, time, random, LogTailSettings.DEFAULT);
            LogAppender appender = new LogAppender(client, tail, time);
            new CheckpointWriter(
                            daemon,
                            state,
                            tail,
                            appender,
                            time,
                            time,
                            random,
                            CheckpointSettings.DEFAULT)
                    .start();
            tail.addListener((entry, result) -> collectComparison(result));
            tail.start(Duration.ZERO);
        }
        time.advance(Duration.ofSeconds(2));
    }

    private void collectComparison(ApplyResult result) {
        if (result instanceof CheckpointSeen seen) {
            comparisons.add(seen.comparison());
        }
    }

    private void addRecords(int count) {
        for (int index = 0; index < count; index++) {
            log.add(new LogRecord.QuarantineRelease(List.of(fingerprint(index)), ""));
        }
    }

    private List<String> writers() {
        return log.entries().stream()
                .map(LogEntry::record)
                .filter(Checkpoint.class::isInstance)
                .map(record -> ((Checkpoint) record).writer().name())
                .toList();
    }

    @Test
    @DisplayName("guards against several daemons writing the same checkpoint, and against none")
    void firstInRankWritesOnce() {
        addRecords(996);
        time.advance(Duration.ofSeconds(10));
        assertThat(writers()).isEmpty();
        addRecords(1);
        time.advance(Duration.ofSeconds(10));
        assertThat(writers()).containsExactly("a");
        assertThat(comparisons).hasSize(3).containsOnly(ApplyResult.Comparison.MATCHES);
    }

    @Test
    @DisplayName("guards against a missing checkpoint when the first in rank cannot write")
    void nextInRankTakesOver() {
        clients.get(0).down = true;
        addRecords(1_000);
        time.advance(Duration.ofSeconds(10));
        assertThat(writers()).containsExactly("b");
    }

    @Test
    @DisplayName("guards against a checkpoint of an unconfirmed state")
    void writesNothingDuringOutage() {
        addRecords(1_000);
        clients.forEach(client -> client.readsHang = true);
        time.advance(Duration.ofMinutes(20));
        assertThat(writers()).isEmpty();
    }

    @Test
    @DisplayName("guards against the last checkpoint of an idle log expiring")
    void refreshesCheckpointOfIdleLog() {
        time.advance(Duration.ofMinutes(31));
        assertThat(writers()).containsExactly("a", "a", "a");
    }

    @Test
    @DisplayName("guards against writing a checkpoint again after a lost response")
    void doesNotRewriteAfterLostResponse() {
        clients.forEach(client -> client.losesResponses = true);
        addRecords(1_000);
        time.advance(Duration.ofMinutes(2));
        assertThat(writers()).containsExactly("a");
    }
}
