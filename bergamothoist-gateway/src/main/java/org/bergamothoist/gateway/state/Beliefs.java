package org.bergamothoist.gateway.state;

import java.time.InstantSource;
import org.bergamothoist.core.fleet.TargetRegistry;
import org.bergamothoist.core.fleet.TargetStates;
import org.bergamothoist.core.gossip.DaemonDirectory;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.prefix.CacheStoreView;
import org.bergamothoist.core.prefix.HeldParts;
import org.bergamothoist.core.rollout.NamedWeights;
import org.bergamothoist.core.route.ConfigurationController;

/** The controllers of one daemon's state. Confined to the event loop. */
public record Beliefs(
        ConfigurationController configuration,
        TargetRegistry targets,
        TargetStates targetStates,
        NamedWeights namedWeights,
        HeldParts heldParts,
        CacheStoreView cacheStore,
        DaemonDirectory daemons) {

    /** Creates controllers that know nothing. */
    public static Beliefs empty(DaemonId self, InstantSource clock) {
        HeldParts heldParts = new HeldParts();
        return new Beliefs(
                new ConfigurationController(clock),
                new TargetRegistry(clock),
                new TargetStates(),
                new NamedWeights(clock),
                heldParts,
                new CacheStoreView(heldParts, clock),
                new DaemonDirectory(self, clock));
    }

    /** Returns whether enough is known to take requests. */
    public boolean isInformed() {
        return configuration.current().isPresent() && !targets.all().isEmpty();
    }
}
