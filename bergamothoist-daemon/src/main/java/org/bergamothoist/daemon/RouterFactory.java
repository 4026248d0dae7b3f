package org.bergamothoist.daemon;

import java.time.InstantSource;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.node.NodeAdapters;
import org.bergamothoist.core.node.Router;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.daemon.settings.DaemonSettings;

/** Creates the router of a daemon. */
@FunctionalInterface
public interface RouterFactory {

    /**
     * Creates a router, not started yet.
     *
     * @param daemon this run of the daemon, which the peer network uses as well
     * @param settings the settings, with the ports that were bound
     * @param scheduler the daemon's control thread
     */
    Router create(
            DaemonId daemon,
            NodeAdapters adapters,
            DaemonSettings settings,
            Scheduler scheduler,
            InstantSource clock);
}
