package org.bergamothoist.gateway.state;

import java.time.InstantSource;
import org.bergamothoist.core.fleet.TargetIncarnation;
import org.bergamothoist.core.fleet.TargetRegistry;
import org.bergamothoist.core.fleet.TargetStateTable;
import org.bergamothoist.core.gossip.DaemonDirectory;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.prefix.CacheStoreView;
import org.bergamothoist.core.prefix.CachedPartIndex;
import org.bergamothoist.core.rollout.DesiredWeightVersions;
import org.bergamothoist.core.route.ConfigurationHolder;

/**
 * The controllers of one daemon's state. Confined to the event loop.
 *
 * @param heldParts prompt parts that engines and the store reported
 * @param expectedParts prompt parts that engines will have read for requests of this daemon
 */
public record Beliefs(
        ConfigurationHolder configuration,
        TargetRegistry targets,
        TargetStateTable targetStates,
        DesiredWeightVersions namedWeights,
        CachedPartIndex heldParts,
        CachedPartIndex expectedParts,
        CacheStoreView cacheStore,
        DaemonDirectory daemons) {

    /** Creates controllers that know nothing. */
    public static Beliefs empty(DaemonId self, InstantSource clock) {
        CachedPartIndex heldParts = new CachedPartIndex();
        return new Beliefs(
                new ConfigurationHolder(),
                new TargetRegistry(clock),
                new TargetStateTable(),
                new DesiredWeightVersions(clock),
                heldParts,
                new CachedPartIndex(),
                new CacheStoreView(heldParts, clock),
                new DaemonDirectory(self, clock));
    }

    /** Forgets the cache of an engine that has restarted or changed its weights. */
    public void forgetCache(TargetIncarnation engine) {
        heldParts.removeHolder(engine.toString());
        expectedParts.removeHolder(engine.toString());
    }

    /** Returns whether enough is known to take requests. */
    public boolean isInformed() {
        return configuration.current().isPresent() && !targets.all().isEmpty();
    }
}
