package org.bergamothoist.standin;

import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.bergamothoist.core.identity.ModelKey;

/** The rate-limited store of model weights. Engine stand-ins ask it how long a load takes. */
public final class WeightStoreStandIn implements AutoCloseable {

    /** Servers that can load at once without slowing each other down. */
    private static final int FULL_SPEED_LOADS = 2;

    private static final int LOOKUPS_PER_SECOND = 50;

    private final Duration loadTime;
    private final RateLimit rateLimit;
    private final StandInHttpServer server;
    private final Set<ModelKey> weights = ConcurrentHashMap.newKeySet();
    private final AtomicInteger loads = new AtomicInteger();
    private final AtomicInteger mostLoads = new AtomicInteger();
    private volatile Duration delay = Duration.ZERO;
    private volatile boolean down;

    /**
     * Starts a store.
     *
     * @param loadTime time of a load when at most two servers load
     */
    public WeightStoreStandIn(EventLoopGroup group, Duration loadTime, InstantSource clock) {
        this.loadTime = loadTime;
        this.rateLimit = new RateLimit(clock, LOOKUPS_PER_SECOND);
        this.server = StandInHttpServer.start(group, this::handle);
    }

    /** Returns the TCP port. */
    public int port() {
        return server.port();
    }

    /** Adds weights. */
    public void add(ModelKey key) {
        weights.add(key);
    }

    /** Returns whether the weights exist. */
    public boolean contains(ModelKey key) {
        return weights.contains(key);
    }

    /** Delays answers and prolongs loads. */
    public void slow(Duration newDelay) {
        delay = newDelay;
    }

    /** Answers with 503 and lets no load begin. */
    public void down() {
        down = true;
    }

    /** Ends all faults. */
    public void recover() {
        down = false;
        delay = Duration.ZERO;
    }

    /** Returns the highest number of loads that ran at once so far. */
    public int mostConcurrentLoads() {
        return mostLoads.get();
    }

    /** Begins a load and returns its time, or nothing if the store is down. */
    Optional<Duration> beginLoad() {
        if (down) {
            return Optional.empty();
        }
        int current = loads.incrementAndGet();
        mostLoads.accumulateAndGet(current, Math::max);
        int slowdown = Math.max(current, FULL_SPEED_LOADS);
        return Optional.of(loadTime.multipliedBy(slowdown).dividedBy(FULL_SPEED_LOADS).plus(delay));
    }

    /** Ends a load, finished or not. */
    void endLoad() {
        loads.decrementAndGet();
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(StandInRequest request, StandInResponse response) {
        server.after(delay, () -> response.empty(status(request)));
    }

    private int status(StandInRequest request) {
        if (down) {
            return 503;
        }
        if (!rateLimit.tryAcquire()) {
            return 429;
        }
        List<String> path = request.segments();
        if (path.size() != 4 || !path.get(0).equals("weights")) {
            return 404;
        }
        return contains(new ModelKey(path.get(1), path.get(2), path.get(3))) ? 200 : 404;
    }
}
