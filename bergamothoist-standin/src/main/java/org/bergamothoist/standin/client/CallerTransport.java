package org.bergamothoist.standin.client;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.bergamothoist.core.identity.RequestId;

/** HTTP client, timers, clock and seeded randomness that callers share. */
public final class CallerTransport implements AutoCloseable {

    /** Pause before the next attempt when no daemon could be reached or a connection broke. */
    static final Duration RECONNECT_DELAY = Duration.ofMillis(100);

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final int THREADS = 4;

    private final InstantSource clock;
    private final Random random;
    private final ExecutorService executor;
    private final ScheduledExecutorService timers;
    private final HttpClient client;

    /** Starts the threads of a transport. */
    public CallerTransport(InstantSource clock, long seed) {
        this.clock = clock;
        this.random = new Random(seed);
        this.executor = Executors.newFixedThreadPool(THREADS, CallerTransport::thread);
        this.timers = Executors.newSingleThreadScheduledExecutor(CallerTransport::thread);
        this.client =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .executor(executor)
                        .build();
    }

    InstantSource clock() {
        return clock;
    }

    HttpClient client() {
        return client;
    }

    RequestId newRequestId() {
        return RequestId.create(clock.instant(), random);
    }

    void schedule(Duration delay, Runnable action) {
        timers.schedule(action, Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
    }

    CompletableFuture<Void> delay(Duration delay) {
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        schedule(delay, () -> elapsed.complete(null));
        return elapsed;
    }

    /** Begins a request of an organisation. */
    static HttpRequest.Builder request(String address, String path, String organisation) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path))
                .header("Authorization", "Bearer " + ExampleKeys.callerKey(organisation));
    }

    @Override
    public void close() {
        timers.shutdownNow();
        executor.shutdownNow();
    }

    private static Thread thread(Runnable action) {
        Thread thread = new Thread(action, "caller");
        thread.setDaemon(true);
        return thread;
    }
}
