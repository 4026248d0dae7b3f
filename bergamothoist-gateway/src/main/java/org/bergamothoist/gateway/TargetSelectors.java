package org.bergamothoist.gateway;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.time.InstantSource;
import java.util.function.DoubleSupplier;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.fleet.CrossingRule;
import org.bergamothoist.core.fleet.ServicePlacement;
import org.bergamothoist.core.prefix.EngineCosts;
import org.bergamothoist.core.prefix.EngineObserver;
import org.bergamothoist.core.prefix.EnginePlacement;
import org.bergamothoist.core.prefix.EngineSpeeds;
import org.bergamothoist.core.prefix.StreamSeparation;
import org.bergamothoist.gateway.caller.TargetSelector;
import org.bergamothoist.gateway.state.ClusterView;
import org.bergamothoist.gateway.state.EngineGauges;

/** Creates what selects the targets of a daemon's requests, and registers the engines' gauges. */
final class TargetSelectors {

    private TargetSelectors() {}

    static TargetSelector create(
            GatewaySettings settings,
            ClusterView clusterView,
            CrossingRule crossing,
            InstantSource clock,
            DoubleSupplier random,
            MetricRegistry metrics,
            DecisionLog log) {
        EngineSpeeds speeds = clusterView.engineSpeeds();
        StreamSeparation separation =
                new StreamSeparation(
                        clusterView.targetStates(), speeds, log, settings.streamSeparation());
        EngineGauges.register(metrics, clusterView, separation, clock);
        return new TargetSelector(
                clusterView,
                new ServicePlacement(
                        settings.dataCentre(), clusterView.targetStates(), crossing, clock, random),
                new EnginePlacement(
                        settings.dataCentre(),
                        clusterView.targetStates(),
                        clusterView.reportedParts(),
                        clusterView.expectedParts(),
                        clusterView.cacheStore(),
                        EngineCosts.STANDARD,
                        crossing,
                        speeds,
                        separation,
                        Duration.ofMillis(settings.longestOutdatedMilliseconds()),
                        clock),
                new EngineObserver(speeds, separation, log),
                separation,
                clock,
                random);
    }
}
