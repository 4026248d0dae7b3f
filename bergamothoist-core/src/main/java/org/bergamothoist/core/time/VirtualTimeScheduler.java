package org.bergamothoist.core.time;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.PriorityQueue;

/**
 * Runs tasks on the calling thread in the order of a virtual clock. Randomised runs and tests drive
 * real decision code with it; the same tasks always run in the same order.
 */
public final class VirtualTimeScheduler implements Scheduler, InstantSource {

    private static final Instant STANDARD_START = Instant.parse("2026-03-02T06:00:00Z");

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private Instant now;
    private long nextSequence;

    /** Creates a scheduler whose clock shows a fixed time of no meaning. */
    public VirtualTimeScheduler() {
        this(STANDARD_START);
    }

    /** Creates a scheduler whose clock shows the given time. */
    public VirtualTimeScheduler(Instant start) {
        this.now = start;
    }

    @Override
    public Instant instant() {
        return now;
    }

    @Override
    public void execute(Runnable task) {
        schedule(Duration.ZERO, task);
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        Task entry = new Task(now.plus(delay), nextSequence++, task);
        tasks.add(entry);
        return () -> entry.cancelled = true;
    }

    /** Runs all tasks that fall due within the duration and moves the clock to its end. */
    public void advance(Duration duration) {
        Instant end = now.plus(duration);
        while (!tasks.isEmpty() && !tasks.peek().due.isAfter(end)) {
            runNext();
        }
        now = end;
    }

    /** Runs all tasks that fall due within milliseconds and moves the clock on. */
    public void advanceMillis(long milliseconds) {
        advance(Duration.ofMillis(milliseconds));
    }

    /** Runs all tasks that are due now, and those that they add for now. */
    public void runDueTasks() {
        advance(Duration.ZERO);
    }

    private void runNext() {
        Task task = tasks.poll();
        now = task.due.isAfter(now) ? task.due : now;
        if (!task.cancelled) {
            task.action.run();
        }
    }

    private static final class Task implements Comparable<Task> {

        private final Instant due;
        private final long sequence;
        private final Runnable action;
        private boolean cancelled;

        Task(Instant due, long sequence, Runnable action) {
            this.due = due;
            this.sequence = sequence;
            this.action = action;
        }

        @Override
        public int compareTo(Task other) {
            int byTime = due.compareTo(other.due);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
