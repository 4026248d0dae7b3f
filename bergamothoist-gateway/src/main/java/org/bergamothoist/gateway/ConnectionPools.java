package org.bergamothoist.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.InstantSource;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.fleet.TargetStateTable;
import org.bergamothoist.gateway.client.ConnectionPool;

/** Creates the pools of a daemon's connections as a client. */
final class ConnectionPools {

    /** Time for a connection to a target: many times the way between data centres. */
    private static final Duration TARGET_CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** Time for a connection to the store or another daemon. */
    private static final Duration CONTROL_CONNECT_TIMEOUT = Duration.ofMillis(700);

    /** Time for which an idle connection is kept if its peer states none. */
    private static final Duration IDLE_TIME = Duration.ofSeconds(4);

    /** Time by which a connection is given up before its peer closes it. */
    private static final Duration IDLE_MARGIN = Duration.ofMillis(700);

    private final EventLoop eventLoop;
    private final InstantSource clock;
    private final MetricRegistry metrics;
    private final DecisionLog log;

    ConnectionPools(
            EventLoop eventLoop, InstantSource clock, MetricRegistry metrics, DecisionLog log) {
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.metrics = metrics;
        this.log = log;
    }

    /**
     * Creates the pool for callers' requests; an unreliable target counts as failing.
     *
     * @param connectTimes is told the identifier of a target and the time to connect to it
     */
    ConnectionPool targets(TargetStateTable states, BiConsumer<String, Duration> connectTimes) {
        return create(
                "targets",
                TARGET_CONNECT_TIMEOUT,
                target ->
                        states.find(target)
                                .ifPresent(state -> state.health().onFailure(clock.instant())),
                connectTimes);
    }

    /** Creates the pool for the daemon's own calls. */
    ConnectionPool control() {
        return create("control", CONTROL_CONNECT_TIMEOUT, peer -> {}, (peer, time) -> {});
    }

    private ConnectionPool create(
            String name,
            Duration connectTimeout,
            Consumer<String> unreliablePeers,
            BiConsumer<String, Duration> connectTimes) {
        return new ConnectionPool(
                name,
                eventLoop,
                clock,
                new ConnectionPool.Settings(connectTimeout, IDLE_TIME, IDLE_MARGIN),
                metrics,
                log,
                unreliablePeers,
                connectTimes);
    }
}
