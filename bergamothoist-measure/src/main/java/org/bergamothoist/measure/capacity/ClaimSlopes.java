package org.bergamothoist.measure.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.claim.ClaimController;
import org.bergamothoist.core.claim.ClaimResult;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.log.LogTail;
import org.bergamothoist.core.log.LogTailSettings;
import org.bergamothoist.core.log.SharedState;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.platform.LogPage;
import org.bergamothoist.core.platform.LogService;
import org.bergamothoist.core.time.VirtualTimeScheduler;

/** Measures how many appends the claims of a daemon need, and how long they take. */
final class ClaimSlopes {

    private static final int SECONDS = 20;
    private static final Duration LOG_LATENCY = Duration.ofMillis(5);

    private final Meter meter;

    ClaimSlopes(Meter meter) {
        this.meter = meter;
    }

    void measure() {
        for (int rate : new int[] {1, 10, 100, 1_000}) {
            measure(rate);
        }
    }

    private void measure(int claimsPerSecond) {
        VirtualTimeScheduler time = new VirtualTimeScheduler(Records.START);
        Random random = new Random(1);
        MemoryLog log = new MemoryLog(time);
        SharedState state = new SharedState();
        LogTail tail = new LogTail(log, state, time, time, random, LogTailSettings.DEFAULT);
        ClaimController claims =
                new ClaimController(Records.daemon(1, 1), log, tail, state, time, time, random);
        log.append(new Records().join(1, 1));
        tail.start(Duration.ZERO);
        time.advance(Duration.ofSeconds(1));
        int before = log.entries.size();
        long[] waited = {0, 0};
        Duration gap = Duration.ofSeconds(1).dividedBy(claimsPerSecond);
        for (int claim = 0; claim < SECONDS * claimsPerSecond; claim++) {
            claim(claims, time, random, waited);
            time.advance(gap);
        }
        time.advance(Duration.ofSeconds(2));
        String size = claimsPerSecond + " claims a second, log answers in 5 ms";
        meter.add(
                "appends for claims of a daemon",
                size,
                (log.entries.size() - before) / (double) SECONDS,
                "a second");
        meter.add("wait for a claim", size, waited[0] / (double) waited[1], "milliseconds");
    }

    private static void claim(
            ClaimController claims, VirtualTimeScheduler time, Random random, long[] waited) {
        Instant start = time.instant();
        LogRecord.ClaimKey key =
                new LogRecord.ClaimKey(
                        new OrganisationId("organisation-1"), RequestId.create(start, random));
        claims.claim(key, Duration.ofSeconds(3))
                .thenAccept(
                        result -> {
                            if (!(result instanceof ClaimResult.Granted)) {
                                throw new IllegalStateException("claim ended as " + result);
                            }
                            waited[0] += Duration.between(start, time.instant()).toMillis();
                            waited[1]++;
                        });
    }

    /** A log that answers after a fixed time. */
    private static final class MemoryLog implements LogService {

        private final VirtualTimeScheduler time;
        private final List<LogEntry> entries = new ArrayList<>();

        MemoryLog(VirtualTimeScheduler time) {
            this.time = time;
        }

        @Override
        public CompletionStage<Long> append(LogRecord record) {
            long offset = entries.size() + 1L;
            entries.add(new LogEntry(offset, time.instant(), record));
            return answer(offset);
        }

        @Override
        public CompletionStage<LogPage> read(long fromOffset, int maximumRecords) {
            int from = (int) Math.max(0, fromOffset - 1);
            int to = Math.min(entries.size(), from + maximumRecords);
            List<LogEntry> page = from < to ? List.copyOf(entries.subList(from, to)) : List.of();
            return answer(new LogPage(1, entries.size() + 1L, page));
        }

        private <T> CompletionStage<T> answer(T value) {
            CompletableFuture<T> answer = new CompletableFuture<>();
            time.schedule(LOG_LATENCY, () -> answer.complete(value));
            return answer;
        }
    }
}
