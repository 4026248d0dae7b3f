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
 * Appends records and confirms them by reading them back. A record is handed to the log once only:
 * a lost answer does not show whether the append took effect. Confined to the control thread.
 */
public final class LogAppender implements LogTailListener {

    /** Time after which the answer to an append counts as lost. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(2);

    private final LogService log;
    private final LogTail tail;
    private final Scheduler scheduler;
    private final Set<PendingAppend> pending = new LinkedHashSet<>();

    /** An append that has not been confirmed. */
    private static final class PendingAppend {
        private final Predicate<LogEntry> matcher;
        private final CompletableFuture<Long> result = new CompletableFuture<>();
        private long offset;
        private Scheduler.Cancellable answerTimeout = () -> {};
        private Scheduler.Cancellable deadline = () -> {};

        PendingAppend(Predicate<LogEntry> matcher) {
            this.matcher = matcher;
        }
    }

    /** Creates an appender that follows the tail. */
    public LogAppender(LogService log, LogTail tail, Scheduler scheduler) {
        this.log = log;
        this.tail = tail;
        this.scheduler = scheduler;
        tail.addListener(this);
    }

    /** Appends a record that no other daemon writes alike, such as one with a random identifier. */
    public CompletionStage<Long> append(LogRecord record, Duration deadline) {
        return append(record, entry -> entry.record().equals(record), deadline);
    }

    /**
     * Appends a record and completes with its offset when it has been folded. Fails with {@link
     * AppendNotConfirmedException} after the deadline; the record may show up later.
     *
     * @param matcher recognises the record in the log if the answer is lost
     */
    public CompletionStage<Long> append(
            LogRecord record, Predicate<LogEntry> matcher, Duration deadline) {
        PendingAppend append = new PendingAppend(matcher);
        pending.add(append);
        append.deadline = scheduler.schedule(deadline, () -> expire(append, deadline));
        append.answerTimeout = scheduler.schedule(ANSWER_TIMEOUT, tail::readNow);
        send(record)
                .whenComplete(
                        (offset, failure) -> scheduler.execute(() -> onAnswer(append, offset)));
        return append.result;
    }

    private CompletionStage<Long> send(LogRecord record) {
        try {
            return log.append(record);
        } catch (RuntimeException exception) {
            return CompletableFuture.failedFuture(exception);
        }
    }

    private void onAnswer(PendingAppend append, Long offset) {
        append.answerTimeout.cancel();
        if (!pending.contains(append)) {
            return;
        }
        if (offset != null) {
            append.offset = offset;
        }
        if (offset != null && offset <= tail.appliedOffset()) {
            confirm(append, offset);
            return;
        }
        // A failed append may have taken effect all the same.
        tail.readNow();
    }

    private void expire(PendingAppend append, Duration deadline) {
        if (pending.remove(append)) {
            append.answerTimeout.cancel();
            append.result.completeExceptionally(
                    new AppendNotConfirmedException(
                            "append not confirmed within " + deadline.toMillis() + " ms"));
        }
    }

    private void confirm(PendingAppend append, long offset) {
        pending.remove(append);
        append.answerTimeout.cancel();
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
