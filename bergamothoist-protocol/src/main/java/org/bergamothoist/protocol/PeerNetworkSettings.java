package org.bergamothoist.protocol;

import java.util.Objects;
import org.bergamothoist.core.identity.DaemonId;

/**
 * Settings of the network between daemons.
 *
 * @param daemon this daemon
 * @param bindHost IP address to listen on
 * @param advertisedHost IP address under which other daemons reach this one; must be the text that
 *     roster and platform list use, since each frame is bound to the address that it is meant for
 * @param port TCP port, 0 for any free one
 * @param deploymentKey secret that all daemons of the deployment share, at least {@value
 *     #MINIMUM_KEY_BYTES} bytes
 */
public record PeerNetworkSettings(
        DaemonId daemon, String bindHost, String advertisedHost, int port, byte[] deploymentKey) {

    /** Smallest accepted key, in bytes. */
    public static final int MINIMUM_KEY_BYTES = 16;

    public PeerNetworkSettings {
        Objects.requireNonNull(daemon);
        Objects.requireNonNull(bindHost);
        Objects.requireNonNull(advertisedHost);
        if (deploymentKey.length < MINIMUM_KEY_BYTES) {
            throw new IllegalArgumentException(
                    "the deployment key must have at least " + MINIMUM_KEY_BYTES + " bytes");
        }
        deploymentKey = deploymentKey.clone();
    }

    @Override
    public byte[] deploymentKey() {
        return deploymentKey.clone();
    }

    @Override
    public String toString() {
        return daemon + " at " + advertisedHost + ":" + port;
    }
}
