package org.bergamothoist.daemon.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.bergamothoist.core.time.Scheduler;
import org.junit.jupiter.api.Test;

class ControlThreadTest {

    /** Guards against a daemon that stands still after one faulty task. */
    @Test
    void goesOnAfterAFailure() throws Exception {
        MetricRegistry metrics = new MetricRegistry();
        try (ControlThread control = new ControlThread("d", metrics)) {
            control.execute(
                    () -> {
                        throw new AssertionError("faulty task");
                    });
            CompletableFuture<String> next = new CompletableFuture<>();
            control.schedule(Duration.ZERO, () -> next.complete(Thread.currentThread().getName()));
            assertThat(next.get(20, TimeUnit.SECONDS)).isEqualTo("control-d");
            assertThat(metrics.counter("control.failures").getCount()).isEqualTo(1);
        }
    }

    /** Guards against cancelled tasks that run, and against exceptions after the stop. */
    @Test
    void cancelsAndStops() throws Exception {
        AtomicBoolean ran = new AtomicBoolean();
        ControlThread control = new ControlThread("d", new MetricRegistry());
        Scheduler.Cancellable task = control.schedule(Duration.ofMillis(50), () -> ran.set(true));
        task.cancel();
        CompletableFuture<Void> later = new CompletableFuture<>();
        control.schedule(Duration.ofMillis(100), () -> later.complete(null));
        later.get(20, TimeUnit.SECONDS);
        assertThat(ran).isFalse();
        control.close();
        control.execute(() -> ran.set(true));
        control.schedule(Duration.ZERO, () -> ran.set(true)).cancel();
        assertThat(ran).isFalse();
    }
}
