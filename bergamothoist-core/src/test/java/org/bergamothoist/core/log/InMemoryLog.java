package org.bergamothoist.core.log;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.platform.LogPage;
import org.bergamothoist.core.platform.LogService;
import org.bergamothoist.core.platform.PlatformException;
import org.bergamothoist.core.time.VirtualTimeScheduler;

/** A log in memory whose clients can each be cut off. */
public final class InMemoryLog {

    private final VirtualTimeScheduler time;
    private final List<LogEntry> entries = new ArrayList<>();
    private long firstRetained = 1;

    public InMemoryLog(VirtualTimeScheduler time) {
        this.time = time;
    }

    /** Appends at once and returns the offset. */
    public long add(LogRecord record) {
        entries.add(new LogEntry(entries.size() + 1, time.instant(), record));
        return entries.size();
    }

    /** Returns all records ever appended. */
    public List<LogEntry> entries() {
        return List.copyOf(entries);
    }

    /** Expires the records below an offset. */
    public void expireBelow(long offset) {
        firstRetained = Math.max(firstRetained, offset);
    }

    /** Returns a connection with faults of its own. */
    public Client client() {
        return new Client();
    }

    /** One daemon's connection. */
    public final class Client implements LogService {

        /** Fails every call without effect. */
        public boolean down;

        /** Never answers a read. */
        public boolean hangs;

        /** Appends take effect, but the answer is lost. */
        public boolean losesAnswers;

        /** Appends fail, but take effect after this time. */
        public Duration lateEffect;

        /** Appends handed to the log. */
        public int appends;

        /** Reads asked for. */
        public int reads;

        @Override
        public CompletionStage<Long> append(LogRecord record) {
            appends++;
            if (down) {
                return CompletableFuture.failedFuture(new PlatformException("log is out"));
            }
            if (lateEffect != null) {
                time.schedule(lateEffect, () -> add(record));
                return CompletableFuture.failedFuture(new PlatformException("append failed"));
            }
            long offset = add(record);
            return losesAnswers
                    ? new CompletableFuture<>()
                    : CompletableFuture.completedFuture(offset);
        }

        @Override
        public CompletionStage<LogPage> read(long fromOffset, int maximumRecords) {
            reads++;
            if (down) {
                return CompletableFuture.failedFuture(new PlatformException("log is out"));
            }
            if (hangs) {
                return new CompletableFuture<>();
            }
            long from = Math.max(fromOffset, firstRetained);
            long to = Math.min(entries.size() + 1L, from + maximumRecords);
            List<LogEntry> page =
                    from >= to ? List.of() : entries.subList((int) from - 1, (int) to - 1);
            return CompletableFuture.completedFuture(
                    new LogPage(firstRetained, entries.size() + 1L, page));
        }
    }
}
