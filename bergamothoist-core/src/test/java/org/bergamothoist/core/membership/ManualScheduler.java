package org.bergamothoist.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.bergamothoist.core.time.Scheduler;

/** A scheduler and clock that a test moves on. */
final class ManualScheduler implements Scheduler, InstantSource {

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparing(Task::at).thenComparingLong(Task::number));
    private Instant now = Instant.parse("2026-03-05T08:00:00Z");
    private long taskNumber;

    private record Task(Instant at, long number, Runnable action) {}

    @Override
    public Cancellable schedule(Duration delay, Runnable action) {
        Task task = new Task(now.plus(delay), taskNumber++, action);
        tasks.add(task);
        return () -> tasks.remove(task);
    }

    @Override
    public void execute(Runnable action) {
        schedule(Duration.ZERO, action);
    }

    @Override
    public Instant instant() {
        return now;
    }

    void run(Duration time) {
        Instant end = now.plus(time);
        while (!tasks.isEmpty() && !tasks.peek().at.isAfter(end)) {
            Task task = tasks.remove();
            now = task.at;
            task.action.run();
        }
        now = end;
    }
}
