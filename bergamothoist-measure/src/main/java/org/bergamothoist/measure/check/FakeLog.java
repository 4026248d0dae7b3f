package org.bergamothoist.measure.check;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.log.SharedState;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.platform.LogPage;
import org.bergamothoist.core.platform.LogService;
import org.bergamothoist.core.platform.PlatformException;
import org.bergamothoist.core.time.VirtualTimeScheduler;

/** The log, with faults, and a fold of its own to compare the nodes with. */
final class FakeLog {

    private static final int FAST_MILLISECONDS = 6;
    private static final int SLOW_MILLISECONDS = 1_500;
    private static final int LATE_MILLISECONDS = 5_000;

    private final VirtualTimeScheduler time;
    private final RandomGenerator random;
    private final List<LogEntry> entries = new ArrayList<>();
    private final SharedState reference = new SharedState();
    private final TreeMap<Long, String> digests = new TreeMap<>();
    private final TreeMap<Long, Map<OrganisationId, Long>> versions = new TreeMap<>();
    private long firstRetained = 1;

    /** Faults in force, each counted, since two may overlap. */
    int readsDown;

    int appendsDown;
    int slow;
    int losingAnswers;
    int delayingAppends;
    final Set<String> cutOff = new HashSet<>();

    /** Last time at which a read by any node was hindered. */
    private Instant hinderedAt = Instant.MIN;

    FakeLog(VirtualTimeScheduler time, RandomGenerator random) {
        this.time = time;
        this.random = random;
    }

    long add(LogRecord record) {
        LogEntry entry = new LogEntry(entries.size() + 1L, time.instant(), record);
        entries.add(entry);
        reference.apply(entry);
        digests.put(entry.offset(), SharedState.digest(reference.snapshot()));
        if (record instanceof LogRecord.SheetSubmission) {
            Map<OrganisationId, Long> current = new HashMap<>();
            reference
                    .organisations()
                    .forEach(state -> current.put(state.entry().organisation(), state.version()));
            versions.put(entry.offset(), current);
        }
        return entry.offset();
    }

    /** Expires records that the newest checkpoint covers. */
    void expireCovered() {
        entries.stream()
                .filter(entry -> entry.record() instanceof LogRecord.Checkpoint)
                .map(entry -> (LogRecord.Checkpoint) entry.record())
                .mapToLong(LogRecord.Checkpoint::coveredOffset)
                .max()
                .ifPresent(covered -> firstRetained = Math.max(firstRetained, covered + 1));
    }

    SharedState reference() {
        return reference;
    }

    /** Returns the digest of the fold up to an offset. */
    Optional<String> digest(long offset) {
        return Optional.ofNullable(digests.get(offset));
    }

    /** Returns the version of an organisation after the fold up to an offset. */
    long version(OrganisationId organisation, long offset) {
        Map.Entry<Long, Map<OrganisationId, Long>> entry = versions.floorEntry(offset);
        return entry == null ? 0 : entry.getValue().getOrDefault(organisation, 0L);
    }

    boolean hinders(String node) {
        return readsDown > 0 || slow > 0 || cutOff.contains(node);
    }

    Instant hinderedAt() {
        return hinderedAt;
    }

    void noteHindrance() {
        hinderedAt = time.instant();
    }

    LogService client(String node, SimulatedProcess process) {
        return new Client(node, process);
    }

    private Duration latency() {
        int milliseconds = 2 + random.nextInt(slow > 0 ? SLOW_MILLISECONDS : FAST_MILLISECONDS);
        return Duration.ofMillis(milliseconds);
    }

    private final class Client implements LogService {

        private final String node;
        private final SimulatedProcess process;

        Client(String node, SimulatedProcess process) {
            this.node = node;
            this.process = process;
        }

        @Override
        public CompletionStage<Long> append(LogRecord record) {
            CompletableFuture<Long> answer = new CompletableFuture<>();
            Duration latency = latency();
            time.schedule(latency.dividedBy(2), () -> arrive(record, answer, latency.dividedBy(2)));
            return answer;
        }

        private void arrive(LogRecord record, CompletableFuture<Long> answer, Duration back) {
            if (appendsDown > 0 || cutOff.contains(node)) {
                reply(back, () -> answer.completeExceptionally(failure()));
                return;
            }
            if (delayingAppends > 0 && random.nextBoolean()) {
                Duration late = Duration.ofMillis(random.nextInt(LATE_MILLISECONDS));
                time.schedule(late, () -> add(record));
                reply(back, () -> answer.completeExceptionally(failure()));
                return;
            }
            long offset = add(record);
            if (losingAnswers > 0 && random.nextBoolean()) {
                if (random.nextBoolean()) {
                    reply(back, () -> answer.completeExceptionally(failure()));
                }
                return;
            }
            reply(back, () -> answer.complete(offset));
        }

        @Override
        public CompletionStage<LogPage> read(long fromOffset, int maximumRecords) {
            CompletableFuture<LogPage> answer = new CompletableFuture<>();
            Duration latency = latency();
            time.schedule(
                    latency.dividedBy(2),
                    () -> {
                        if (readsDown > 0 || cutOff.contains(node)) {
                            reply(latency, () -> answer.completeExceptionally(failure()));
                            return;
                        }
                        LogPage page = page(fromOffset, maximumRecords);
                        reply(latency.dividedBy(2), () -> answer.complete(page));
                    });
            return answer;
        }

        private LogPage page(long fromOffset, int maximumRecords) {
            long from = Math.max(fromOffset, firstRetained);
            long to = Math.min(entries.size() + 1L, from + maximumRecords);
            List<LogEntry> page =
                    from >= to ? List.of() : entries.subList((int) from - 1, (int) to - 1);
            return new LogPage(firstRetained, entries.size() + 1L, page);
        }

        private void reply(Duration delay, Runnable answer) {
            process.schedule(delay, answer);
        }

        private PlatformException failure() {
            return new PlatformException("the log does not answer");
        }
    }
}
