package org.bergamothoist.core.order;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.log.SharedState;
import org.bergamothoist.core.log.SharedStateSnapshot.LeaseState;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.platform.PlatformException;
import org.bergamothoist.core.time.VirtualTimeScheduler;

/** A log that folds each append at once, with failures that a test asks for. */
final class FoldedLeaseLog implements LeaseLog {

    private final VirtualTimeScheduler time;
    private final SharedState state = new SharedState();
    private final List<Runnable> delayed = new ArrayList<>();
    private long offset;
    boolean available = true;
    boolean loseAnswers;
    boolean delayAppends;

    FoldedLeaseLog(VirtualTimeScheduler time) {
        this.time = time;
    }

    @Override
    public Optional<LeaseState> lease(String resource) {
        return state.lease(resource);
    }

    @Override
    public boolean current() {
        return available;
    }

    @Override
    public CompletionStage<Long> append(LogRecord record) {
        CompletableFuture<Long> answer = new CompletableFuture<>();
        if (!available) {
            answer.completeExceptionally(new PlatformException("the log is down"));
            return answer;
        }
        if (delayAppends) {
            delayed.add(() -> fold(record, answer));
            return answer;
        }
        fold(record, answer);
        return answer;
    }

    private void fold(LogRecord record, CompletableFuture<Long> answer) {
        state.apply(new LogEntry(++offset, time.instant(), record));
        if (loseAnswers) {
            answer.completeExceptionally(new PlatformException("the answer was lost"));
            return;
        }
        answer.complete(offset);
    }

    void deliverDelayed() {
        delayed.forEach(Runnable::run);
        delayed.clear();
    }

    void advance(Duration duration) {
        time.advance(duration);
    }
}
