package org.bergamothoist.core.log;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.bergamothoist.core.time.Scheduler;

/** A scheduler and clock that move only when a test says so. */
public final class VirtualTime implements Scheduler, InstantSource {

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparing(Task::at).thenComparingLong(Task::sequence));
    private Instant now = Instant.parse("2026-03-02T06:00:00Z");
    private long sequence;

    private record Task(Instant at, long sequence, Runnable action) {}

    @Override
    public Instant instant() {
        return now;
    }

    @Override
    public void execute(Runnable action) {
        schedule(Duration.ZERO, action);
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable action) {
        Task task = new Task(now.plus(delay), sequence++, action);
        tasks.add(task);
        return () -> tasks.remove(task);
    }

    /** Runs what is due within the duration. */
    public void advance(Duration duration) {
        Instant end = now.plus(duration);
        while (!tasks.isEmpty() && !tasks.peek().at().isAfter(end)) {
            Task task = tasks.remove();
            now = task.at();
            task.action().run();
        }
        now = end;
    }

    /** Runs what is due within milliseconds. */
    public void advanceMillis(long milliseconds) {
        advance(Duration.ofMillis(milliseconds));
    }
}
