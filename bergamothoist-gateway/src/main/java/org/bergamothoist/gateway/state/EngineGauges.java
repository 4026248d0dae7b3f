package org.bergamothoist.gateway.state;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.BiPredicate;
import java.util.function.ToLongFunction;
import org.bergamothoist.core.fleet.OutstandingWork;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.prefix.EngineSpeeds;
import org.bergamothoist.core.prefix.StreamSeparation;
import org.bergamothoist.core.route.RouteConfiguration;

/** Metrics of learned engine speeds, separation and memory. Read on the event loop. */
public final class EngineGauges {

    /** Lasting rate, as a share of the service's, below which an engine counts as slow. */
    private static final double SLOW_SHARE = 0.8;

    private final ClusterView clusterView;
    private final StreamSeparation separation;
    private final InstantSource clock;

    private EngineGauges(
            ClusterView clusterView, StreamSeparation separation, InstantSource clock) {
        this.clusterView = clusterView;
        this.separation = separation;
        this.clock = clock;
    }

    /** Adds the gauges to a registry. */
    public static void register(
            MetricRegistry registry,
            ClusterView clusterView,
            StreamSeparation separation,
            InstantSource clock) {
        EngineGauges gauges = new EngineGauges(clusterView, separation, clock);
        EngineSpeeds speeds = clusterView.engineSpeeds();
        registry.register(
                "engines-measured", gauges.count((engine, now) -> speeds.isMeasured(engine)));
        registry.register("engines-slow-lasting", gauges.count(gauges::isSlow));
        registry.register(
                "engines-slow-now",
                gauges.count((engine, now) -> speeds.temporarySlowness(engine, now) > 1));
        registry.register("engines-for-long-prompts", gauges.enginesForLongPrompts());
        registry.register(
                "engine-memory-tokens-largest",
                gauges.largest(OutstandingWork.Totals::memoryTokens));
        registry.register(
                "engine-urgent-streams-largest",
                gauges.largest(OutstandingWork.Totals::urgentStreams));
    }

    private boolean isSlow(RegisteredTarget engine, Instant now) {
        EngineSpeeds speeds = clusterView.engineSpeeds();
        return speeds.lastingTokensPerMillisecond(engine, now)
                < SLOW_SHARE * speeds.prefillTokensPerMillisecond(engine.service());
    }

    private Gauge<Long> count(BiPredicate<RegisteredTarget, Instant> property) {
        return () -> {
            Instant now = clock.instant();
            return clusterView.targets().all().stream()
                    .filter(target -> property.test(target, now))
                    .count();
        };
    }

    private Gauge<Integer> enginesForLongPrompts() {
        return () ->
                clusterView
                        .configuration()
                        .current()
                        .map(RouteConfiguration::engineServices)
                        .stream()
                        .flatMap(services -> services.stream())
                        .mapToInt(service -> separation.enginesForLongPrompts(service.name()))
                        .sum();
    }

    private Gauge<Long> largest(ToLongFunction<OutstandingWork.Totals> value) {
        return () -> {
            Instant now = clock.instant();
            return clusterView.targets().all().stream()
                    .flatMap(target -> clusterView.targetStates().find(target.id()).stream())
                    .mapToLong(state -> value.applyAsLong(state.load().totals(now)))
                    .max()
                    .orElse(0);
        };
    }
}
