package org.bergamothoist.measure.check;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.core.time.VirtualTimeScheduler;

/**
 * One process on the virtual clock, which can be paused and killed. All that reaches it while it is
 * paused is handled when it goes on, in the order of arrival; a killed one handles nothing more.
 */
final class SimulatedProcess implements Scheduler {

    private final String name;
    private final VirtualTimeScheduler time;
    private final RunLog log;
    private final Deque<Entry> held = new ArrayDeque<>();
    private boolean paused;
    private boolean dead;

    SimulatedProcess(String name, VirtualTimeScheduler time, RunLog log) {
        this.name = name;
        this.time = time;
        this.log = log;
    }

    private static final class Entry {
        private final Runnable task;
        private boolean cancelled;

        Entry(Runnable task) {
            this.task = task;
        }
    }

    boolean alive() {
        return !dead;
    }

    boolean running() {
        return !dead && !paused;
    }

    void pause() {
        paused = true;
    }

    void resume() {
        if (!paused) {
            return;
        }
        paused = false;
        while (!held.isEmpty()) {
            Entry entry = held.removeFirst();
            time.execute(() -> due(entry));
        }
    }

    void kill() {
        dead = true;
        held.clear();
    }

    @Override
    public void execute(Runnable task) {
        schedule(Duration.ZERO, task);
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        Entry entry = new Entry(task);
        Cancellable timer = time.schedule(delay, () -> due(entry));
        return () -> {
            entry.cancelled = true;
            timer.cancel();
        };
    }

    private void due(Entry entry) {
        if (dead || entry.cancelled) {
            return;
        }
        if (paused) {
            held.addLast(entry);
            return;
        }
        log.step();
        try {
            entry.task.run();
        } catch (BergamothoistException exception) {
            // A fatal invariant has been recorded through the timeline already.
            if (exception.code() != ErrorCode.INVARIANT_VIOLATED) {
                failed(exception);
            }
        } catch (RuntimeException exception) {
            failed(exception);
        }
    }

    private void failed(RuntimeException exception) {
        StackTraceElement[] stack = exception.getStackTrace();
        String where = stack.length == 0 ? "" : " at " + stack[0];
        log.violated(Property.UNEXPECTED_FAILURE, name + ": " + exception + where);
    }
}
