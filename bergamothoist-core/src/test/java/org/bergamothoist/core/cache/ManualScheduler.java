package org.bergamothoist.core.cache;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.bergamothoist.core.time.Scheduler;

/** A clock and scheduler whose time the test advances. */
public final class ManualScheduler implements Scheduler, InstantSource {

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparing(Task::at).thenComparing(Task::sequence));
    private Instant now = Instant.EPOCH;
    private long nextSequence;

    @Override
    public Instant instant() {
        return now;
    }

    @Override
    public void execute(Runnable command) {
        schedule(Duration.ZERO, command);
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable action) {
        Task task = new Task(now.plus(delay), nextSequence++, action);
        tasks.add(task);
        return () -> tasks.remove(task);
    }

    /** Advances the clock and runs the tasks that become due, in order. */
    public void advance(Duration duration) {
        Instant end = now.plus(duration);
        while (!tasks.isEmpty() && !tasks.peek().at().isAfter(end)) {
            Task task = tasks.poll();
            now = task.at();
            task.action().run();
        }
        now = end;
    }

    private record Task(Instant at, long sequence, Runnable action) {}
}
