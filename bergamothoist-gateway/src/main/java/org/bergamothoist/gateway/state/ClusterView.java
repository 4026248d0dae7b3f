package org.bergamothoist.gateway.state;

import java.time.Duration;
import java.time.InstantSource;
import org.bergamothoist.core.fleet.TargetIncarnation;
import org.bergamothoist.core.fleet.TargetRegistry;
import org.bergamothoist.core.fleet.TargetStateTable;
import org.bergamothoist.core.gossip.DaemonDirectory;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.prefix.CacheStoreView;
import org.bergamothoist.core.prefix.CachedPartIndex;
import org.bergamothoist.core.prefix.EngineCosts;
import org.bergamothoist.core.prefix.EngineSpeeds;
import org.bergamothoist.core.rollout.DesiredWeightVersions;
import org.bergamothoist.core.route.ConfigurationHolder;

/**
 * A daemon's view of the cluster, built from store records, cache events and reports of other
 * daemons. Confined to the event loop.
 *
 * @param configuration the accepted configuration of routes and services
 * @param targets registered targets
 * @param targetStates load, health and weight version by target
 * @param desiredWeightVersions versions of model weights that operators have requested
 * @param reportedParts prompt parts that engines and the cache store have reported as cached
 * @param expectedParts prompt parts that engines are expected to cache for requests which this
 *     daemon has routed to them
 * @param cacheStore availability and content of the shared cache store
 * @param engineSpeeds learned speeds of engines
 * @param daemons other daemons and their latest reports
 */
public record ClusterView(
        ConfigurationHolder configuration,
        TargetRegistry targets,
        TargetStateTable targetStates,
        DesiredWeightVersions desiredWeightVersions,
        CachedPartIndex reportedParts,
        CachedPartIndex expectedParts,
        CacheStoreView cacheStore,
        EngineSpeeds engineSpeeds,
        DaemonDirectory daemons) {

    /**
     * Creates an empty view.
     *
     * @param assumedVersionAge assumed age of weight versions that the first read of the operators'
     *     feed brings
     */
    public static ClusterView empty(
            DaemonId self, InstantSource clock, Duration assumedVersionAge) {
        CachedPartIndex reportedParts = new CachedPartIndex();
        return new ClusterView(
                new ConfigurationHolder(),
                new TargetRegistry(clock),
                new TargetStateTable(),
                new DesiredWeightVersions(clock, assumedVersionAge),
                reportedParts,
                new CachedPartIndex(),
                new CacheStoreView(reportedParts, clock),
                new EngineSpeeds(EngineCosts.STANDARD.prefillTokensPerMillisecond()),
                new DaemonDirectory(self, clock));
    }

    /** Removes the cached prompt parts of an engine that has restarted or changed its weights. */
    public void clearCachedParts(TargetIncarnation engine) {
        reportedParts.removeHolder(engine.toString());
        expectedParts.removeHolder(engine.toString());
    }

    /**
     * Returns whether the daemon can accept requests: it has a configuration and knows at least one
     * target.
     */
    public boolean isReady() {
        return configuration.current().isPresent() && !targets.all().isEmpty();
    }
}
