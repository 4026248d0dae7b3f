package org.bergamothoist.gateway;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.bergamothoist.core.time.Scheduler;

/** Runs tasks on the one event loop of a daemon, which is its control thread. */
public final class EventLoopScheduler implements Scheduler {

    private final EventLoop eventLoop;

    /** Creates a scheduler. */
    public EventLoopScheduler(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    @Override
    public void execute(Runnable task) {
        eventLoop.execute(task);
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        var scheduled = eventLoop.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
        return () -> scheduled.cancel(false);
    }
}
