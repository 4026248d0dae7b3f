package org.bergamothoist.daemon.settings;

import java.util.List;

/**
 * The settings of one daemon.
 *
 * @param daemon name of the daemon, stable over restarts
 * @param virtualMachine name of its VM in the platform's list
 * @param dataCentre data centre of the VM
 * @param region region of the data centre
 * @param deployment name of the deployment
 * @param weightings what placement values in this deployment
 * @param callerAddress address for callers and operators
 * @param adminAddress address for health and metrics
 * @param peerAddress address for other daemons
 * @param platform base URLs of the outside systems
 * @param deploymentKey secret of the deployment
 * @param operators operators and their keys
 * @param blockTokens tokens of a cache block
 */
public record DaemonSettings(
        String daemon,
        String virtualMachine,
        String dataCentre,
        String region,
        String deployment,
        Weightings weightings,
        NetworkAddress callerAddress,
        NetworkAddress adminAddress,
        NetworkAddress peerAddress,
        PlatformUrls platform,
        DeploymentKey deploymentKey,
        List<OperatorKey> operators,
        int blockTokens,
        Bounds bounds,
        Timings timings) {

    public DaemonSettings {
        operators = List.copyOf(operators);
    }

    /** Returns the settings with the addresses that were bound, after a port of 0 was resolved. */
    public DaemonSettings withAddresses(
            NetworkAddress caller, NetworkAddress admin, NetworkAddress peer) {
        return new DaemonSettings(
                daemon,
                virtualMachine,
                dataCentre,
                region,
                deployment,
                weightings,
                caller,
                admin,
                peer,
                platform,
                deploymentKey,
                operators,
                blockTokens,
                bounds,
                timings);
    }
}
