package org.bergamothoist.gateway;

import com.codahale.metrics.MetricRegistry;
import java.time.InstantSource;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.fleet.CrossingRule;
import org.bergamothoist.core.prefix.EngineCosts;
import org.bergamothoist.gateway.state.ClusterView;

/** Creates the rule by which a daemon's requests leave its data centre. */
final class CrossingRules {

    private CrossingRules() {}

    static CrossingRule create(
            GatewaySettings settings,
            ClusterView clusterView,
            InstantSource clock,
            MetricRegistry metrics,
            DecisionLog log) {
        return new CrossingRule(
                new CrossingRule.Settings(
                        settings.dataCentre(),
                        EngineCosts.STANDARD.crossDataCentre(),
                        settings.crossDataCentreCostMillisecondsPerMegabyte()),
                clusterView.targets(),
                clusterView.targetStates(),
                engine ->
                        clusterView
                                .engineSpeeds()
                                .prefillTokensPerMillisecond(engine, clock.instant()),
                clock,
                metrics,
                log);
    }
}
