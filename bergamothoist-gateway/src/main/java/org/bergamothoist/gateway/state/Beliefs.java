package org.bergamothoist.gateway.state;

import java.time.InstantSource;
import org.bergamothoist.core.fleet.TargetIncarnation;
import org.bergamothoist.core.fleet.TargetRegistry;
import org.bergamothoist.core.fleet.TargetStateTable;
import org.bergamothoist.core.gossip.DaemonDirectory;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.prefix.CacheStoreView;
import org.bergamothoist.core.prefix.HeldParts;
import org.bergamothoist.core.rollout.NamedWeights;
import org.bergamothoist.core.route.ConfigurationController;

/**
 * The controllers of one daemon's state. Confined to the event loop.
 *
 * @param heldParts prompt parts that engines and the store reported
 * @param expectedParts prompt parts that engines will have read for requests of this daemon
 */
public record Beliefs(
        ConfigurationController configuration,
        TargetRegistry targets,
        TargetStateTable targetStates,
        NamedWeights namedWeights,
        HeldParts heldParts,
        HeldParts expectedParts,
        CacheStoreView cacheStore,
        DaemonDirectory daemons) {

    /** Creates controllers that know nothing. */
    public static Beliefs empty(DaemonId self, InstantSource clock) {
        HeldParts heldParts = new HeldParts();
        return new Beliefs(
                new ConfigurationController(),
                new TargetRegistry(clock),
                new TargetStateTable(),
                new NamedWeights(clock),
                heldParts,
                new HeldParts(),
                new CacheStoreView(heldParts, clock),
                new DaemonDirectory(self, clock));
    }

    /** Forgets the cache of an engine that has restarted or changed its weights. */
    public void forgetCache(TargetIncarnation engine) {
        heldParts.forget(engine.toString());
        expectedParts.forget(engine.toString());
    }

    /** Returns whether enough is known to take requests. */
    public boolean isInformed() {
        return configuration.current().isPresent() && !targets.all().isEmpty();
    }
}
