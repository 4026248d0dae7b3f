package org.bergamothoist.core.time;

import java.time.Duration;
import java.util.concurrent.Executor;

/** Runs tasks on the control thread of a router node, immediately or after a delay. */
public interface Scheduler extends Executor {

    /** Runs the task once after the delay. */
    Cancellable schedule(Duration delay, Runnable task);

    /** Cancels a scheduled task; has no effect on a task that has started. */
    @FunctionalInterface
    interface Cancellable {

        /** Cancels the task. */
        void cancel();
    }
}
