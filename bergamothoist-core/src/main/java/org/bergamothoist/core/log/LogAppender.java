package org.bergamothoist.core.log;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.platform.LogService;
import org.bergamothoist.core.time.Scheduler;

/**
 * Appends records to the log and confirms each append by reading the record back. An append is
 * never retried, since a lost response does not show whether it took effect. Confined to the
 * control thread.
 */
public final class LogAppender implements LogTailListener {

    /** Time after which the log is read because the response to an append is overdue. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(2);

    private final LogService log;
    private final LogTail tail;
    private final Scheduler scheduler;
    private final Set<PendingAppend> pending = new LinkedHashSet<>();

    /**
     * An append that has not been confirmed. Its offset is 0 until the log's response arrives;
     * until then the record is recognised by the matcher.
     */
    private static final class PendingAppend {
        private final Predicate<LogEntry> matcher;
        private final CompletableFuture<Long> result = new CompletableFuture<>();
        private long offset;
        private Scheduler.Cancellable responseTimeout = () -> {};
        private Scheduler.Cancellable deadline = () -> {};

        PendingAppend(Predicate<LogEntry> matcher) {
            this.matcher = matcher;
        }
    }

    /** Creates an appender that confirms its appends by what the tail reads. */
    public LogAppender(LogService log, LogTail tail, Scheduler scheduler) {
        this.log = log;
        this.tail = tail;
        this.scheduler = scheduler;
        tail.addListener(this);
    }

    /**
     * Appends a record that no other daemon appends with equal content, for example because it has
     * a random identifier.
     *
     * @see #append(LogRecord, Predicate, Duration)
     */
    public CompletionStage<Long> append(LogRecord record, Duration deadline) {
        return append(record, entry -> entry.record().equals(record), deadline);
    }

    /**
     * Appends a record and completes with its offset once it has been applied. Fails with {@link
     * AppendNotConfirmedException} after the deadline; the record may still be appended later.
     *
     * @param matcher recognises the record in the log if the response is lost
     * @param deadline time to wait for the confirmation
     */
    public CompletionStage<Long> append(
            LogRecord record, Predicate<LogEntry> matcher, Duration deadline) {
        PendingAppend append = new PendingAppend(matcher);
        pending.add(append);
        append.deadline = scheduler.schedule(deadline, () -> onDeadline(append, deadline));
        append.responseTimeout = scheduler.schedule(RESPONSE_TIMEOUT, tail::readNow);
        send(record)
                .whenComplete(
                        (offset, failure) -> scheduler.execute(() -> onResponse(append, offset)));
        return append.result;
    }

    private CompletionStage<Long> send(LogRecord record) {
        try {
            return log.append(record);
        } catch (RuntimeException exception) {
            return CompletableFuture.failedFuture(exception);
        }
    }

    private void onResponse(PendingAppend append, Long offset) {
        append.responseTimeout.cancel();
        if (!pending.contains(append)) {
            return;
        }
        if (offset != null) {
            append.offset = offset;
        }
        if (offset != null && offset <= tail.appliedOffset() && isApplied(append, offset)) {
            confirm(append, offset);
            return;
        }
        // Even an append that failed may have taken effect, so only the log itself decides.
        tail.readNow();
    }

    /** A log that has come back from an older copy may give out the offset of another record. */
    private boolean isApplied(PendingAppend append, long offset) {
        return tail.entriesAfter(offset - 1, 1).stream().allMatch(append.matcher);
    }

    private void onDeadline(PendingAppend append, Duration deadline) {
        if (pending.remove(append)) {
            append.responseTimeout.cancel();
            append.result.completeExceptionally(
                    new AppendNotConfirmedException(
                            "log append not confirmed within " + deadline.toMillis() + " ms"));
        }
    }

    private void confirm(PendingAppend append, long offset) {
        pending.remove(append);
        append.responseTimeout.cancel();
        append.deadline.cancel();
        append.result.complete(offset);
    }

    @Override
    public void onApplied(LogEntry entry, ApplyResult result) {
        if (pending.isEmpty()) {
            return;
        }
        for (PendingAppend append : List.copyOf(pending)) {
            boolean found =
                    append.offset == 0
                            ? append.matcher.test(entry)
                            : append.offset == entry.offset();
            if (found) {
                confirm(append, entry.offset());
            }
        }
    }

    @Override
    public void onRestored(long appliedOffset) {
        for (PendingAppend append : new ArrayList<>(pending)) {
            if (append.offset > 0 && append.offset <= appliedOffset) {
                confirm(append, append.offset);
            }
        }
    }
}
