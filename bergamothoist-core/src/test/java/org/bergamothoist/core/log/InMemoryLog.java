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

/** A log in memory. Faults can be injected for each of its clients separately. */
public final class InMemoryLog {

    private final VirtualTimeScheduler time;
    private final List<LogEntry> entries = new ArrayList<>();
    private long firstRetainedOffset = 1;

    public InMemoryLog(VirtualTimeScheduler time) {
        this.time = time;
    }

    /** Appends a record immediately and returns its offset. */
    public long add(LogRecord record) {
        entries.add(new LogEntry(entries.size() + 1, time.instant(), record));
        return entries.size();
    }

    /** Returns all entries ever appended, expired ones included. */
    public List<LogEntry> entries() {
        return List.copyOf(entries);
    }

    /** Lets the records below an offset expire. */
    public void expireBelow(long offset) {
        firstRetainedOffset = Math.max(firstRetainedOffset, offset);
    }

    /** Loses the records from an offset on, which is given out again. */
    public void loseRecordsFrom(long offset) {
        entries.subList((int) offset - 1, entries.size()).clear();
    }

    /** Creates a client without faults. */
    public Client client() {
        return new Client();
    }

    /** The log as one daemon sees it, with faults that a test sets. */
    public final class Client implements LogService {

        /** Whether every call fails without effect. */
        public boolean down;

        /** Whether reads never complete. */
        public boolean readsHang;

        /** Whether appends take effect but never complete. */
        public boolean losesResponses;

        /** If set, appends fail but take effect after this delay. */
        public Duration lateAppendDelay;

        /** Number of appends requested. */
        public int appends;

        /** Number of reads requested. */
        public int reads;

        /** Number of records returned. */
        public int recordsRead;

        /** Maximum number of records in a page, whatever is requested. */
        public int longestPage = Integer.MAX_VALUE;

        @Override
        public CompletionStage<Long> append(LogRecord record) {
            appends++;
            if (down) {
                return CompletableFuture.failedFuture(new PlatformException("log is unavailable"));
            }
            if (lateAppendDelay != null) {
                time.schedule(lateAppendDelay, () -> add(record));
                return CompletableFuture.failedFuture(new PlatformException("append failed"));
            }
            long offset = add(record);
            return losesResponses
                    ? new CompletableFuture<>()
                    : CompletableFuture.completedFuture(offset);
        }

        @Override
        public CompletionStage<LogPage> read(long fromOffset, int maximumRecords) {
            reads++;
            if (down) {
                return CompletableFuture.failedFuture(new PlatformException("log is unavailable"));
            }
            if (readsHang) {
                return new CompletableFuture<>();
            }
            long from = Math.max(fromOffset, firstRetainedOffset);
            long to = Math.min(entries.size() + 1L, from + Math.min(maximumRecords, longestPage));
            List<LogEntry> page =
                    from >= to ? List.of() : entries.subList((int) from - 1, (int) to - 1);
            recordsRead += page.size();
            return CompletableFuture.completedFuture(
                    new LogPage(firstRetainedOffset, entries.size() + 1L, page));
        }
    }
}
