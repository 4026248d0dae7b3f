package org.bergamothoist.daemon;

import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.peer.PeerNetwork;
import org.bergamothoist.daemon.settings.DaemonSettings;

/**
 * An open transport between daemons.
 *
 * @param network sends and receives messages
 * @param port TCP port that was bound
 * @param closer releases the port and all connections
 */
public record PeerTransport(PeerNetwork network, int port, Runnable closer) {

    /** Opens the transport of a daemon. */
    @FunctionalInterface
    public interface Factory {

        /** Binds the peer address of the settings; a port of 0 means any free one. */
        PeerTransport open(DaemonId daemon, DaemonSettings settings);
    }
}
