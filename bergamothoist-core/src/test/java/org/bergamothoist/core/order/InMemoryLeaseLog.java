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

/** A log in memory that applies each record at once, with failures that a test injects. */
final class InMemoryLeaseLog implements LeaseLog {

    private final VirtualTimeScheduler time;
    private final SharedState state = new SharedState();
    private final List<Runnable> delayedAppends = new ArrayList<>();
    private long offset;
    boolean available = true;
    boolean loseConfirmations;
    boolean delayAppends;

    InMemoryLeaseLog(VirtualTimeScheduler time) {
        this.time = time;
    }

    @Override
    public Optional<LeaseState> lease(String resource) {
        return state.lease(resource);
    }

    @Override
    public boolean isUpToDate() {
        return available;
    }

    @Override
    public CompletionStage<Long> append(LogRecord record) {
        CompletableFuture<Long> confirmation = new CompletableFuture<>();
        if (!available) {
            confirmation.completeExceptionally(new PlatformException("the log is down"));
            return confirmation;
        }
        if (delayAppends) {
            delayedAppends.add(() -> applyRecord(record, confirmation));
            return confirmation;
        }
        applyRecord(record, confirmation);
        return confirmation;
    }

    private void applyRecord(LogRecord record, CompletableFuture<Long> confirmation) {
        state.apply(new LogEntry(++offset, time.instant(), record));
        if (loseConfirmations) {
            confirmation.completeExceptionally(new PlatformException("the confirmation was lost"));
            return;
        }
        confirmation.complete(offset);
    }

    void performDelayedAppends() {
        delayedAppends.forEach(Runnable::run);
        delayedAppends.clear();
    }

    void advance(Duration duration) {
        time.advance(duration);
    }
}
