package org.bergamothoist.measure;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.bergamothoist.core.time.Scheduler;

/** A clock that jumps from one scheduled task to the next; starts at the epoch. */
final class VirtualTime implements Scheduler, InstantSource {

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.<Task>comparingLong(task -> task.nanos)
                            .thenComparingLong(task -> task.sequence));
    private long nanos;
    private long nextSequence;

    @Override
    public Instant instant() {
        return Instant.EPOCH.plusNanos(nanos);
    }

    @Override
    public long millis() {
        return Duration.ofNanos(nanos).toMillis();
    }

    @Override
    public void execute(Runnable command) {
        schedule(Duration.ZERO, command);
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        Task entry = new Task(nanos + Math.max(0, delay.toNanos()), nextSequence++, task);
        tasks.add(entry);
        return () -> entry.cancelled = true;
    }

    /** Runs all tasks up to the given time. */
    void runUntil(Duration end) {
        while (!tasks.isEmpty() && tasks.peek().nanos <= end.toNanos()) {
            Task task = tasks.poll();
            nanos = task.nanos;
            if (!task.cancelled) {
                task.action.run();
            }
        }
        nanos = end.toNanos();
    }

    private static final class Task {
        private final long nanos;
        private final long sequence;
        private final Runnable action;
        private boolean cancelled;

        private Task(long nanos, long sequence, Runnable action) {
            this.nanos = nanos;
            this.sequence = sequence;
            this.action = action;
        }
    }
}
