package org.bergamothoist.daemon.runtime;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bergamothoist.core.time.Scheduler;

/**
 * The single thread of a daemon's controllers. A task that throws is logged and counted, and the
 * thread goes on: one faulty message must not stop a daemon.
 */
public final class ControlThread implements Scheduler, AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(ControlThread.class);

    private final ScheduledThreadPoolExecutor executor;
    private final Timer tasks;
    private final Counter failures;

    /**
     * Starts the thread.
     *
     * @param name name of the daemon, for the thread's name
     * @param metrics receives {@code control.queue}, {@code control.tasks} and {@code
     *     control.failures}
     */
    public ControlThread(String name, MetricRegistry metrics) {
        executor =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, "control-" + name);
                            thread.setDaemon(true);
                            return thread;
                        });
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        metrics.register("control.queue", (Gauge<Integer>) executor.getQueue()::size);
        tasks = metrics.timer("control.tasks");
        failures = metrics.counter("control.failures");
    }

    @Override
    public void execute(Runnable task) {
        try {
            executor.execute(() -> run(task));
        } catch (RejectedExecutionException exception) {
            LOGGER.debug("task dropped because the daemon has stopped");
        }
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        try {
            ScheduledFuture<?> future =
                    executor.schedule(() -> run(task), delay.toNanos(), TimeUnit.NANOSECONDS);
            return () -> future.cancel(false);
        } catch (RejectedExecutionException exception) {
            LOGGER.debug("task dropped because the daemon has stopped");
            return () -> {};
        }
    }

    private void run(Runnable task) {
        try {
            tasks.time(task);
        } catch (RuntimeException | Error exception) {
            failures.inc();
            LOGGER.error("task of the control thread failed", exception);
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
