package org.bergamothoist.core.time;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.PriorityQueue;

/**
 * Runs tasks on the calling thread by a virtual clock, for simulations and tests. Execution is
 * deterministic: tasks due at the same time run in the order in which they were scheduled.
 */
public final class VirtualTimeScheduler implements Scheduler, InstantSource {

    private static final Instant DEFAULT_START = Instant.parse("2026-03-02T06:00:00Z");

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private Instant now;
    private long nextSequence;

    /** Creates a scheduler whose clock starts at an arbitrary fixed time. */
    public VirtualTimeScheduler() {
        this(DEFAULT_START);
    }

    /** Creates a scheduler whose clock starts at the given time. */
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

    /** Advances the clock by the duration and runs all tasks that become due. */
    public void advance(Duration duration) {
        Instant end = now.plus(duration);
        while (!tasks.isEmpty() && !tasks.peek().due.isAfter(end)) {
            runNext();
        }
        now = end;
    }

    /** Advances the clock by milliseconds and runs all tasks that become due. */
    public void advanceMillis(long milliseconds) {
        advance(Duration.ofMillis(milliseconds));
    }

    /** Runs all tasks that are due now, including those that they schedule without a delay. */
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
