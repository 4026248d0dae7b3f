package org.bergamothoist.measure.check;

import org.bergamothoist.core.node.NodeSettings;
import org.bergamothoist.core.peer.PeerNetwork;
import org.bergamothoist.core.platform.EngineClient;
import org.bergamothoist.core.platform.LogService;
import org.bergamothoist.core.platform.ServiceClient;
import org.bergamothoist.core.platform.VirtualMachineList;

/**
 * Stands between a node and its interfaces. The standard one changes nothing; mutations put a
 * deliberate fault there, to show that the checks find it.
 */
public interface Interposition {

    /** Returns the settings that the node gets. */
    default NodeSettings settings(NodeSettings settings) {
        return settings;
    }

    /** Returns the log that the node gets. */
    default LogService log(NodeSettings node, LogService log) {
        return log;
    }

    /** Returns the list of VMs that the node gets. */
    default VirtualMachineList machines(NodeSettings node, VirtualMachineList list) {
        return list;
    }

    /** Returns the engines that the node gets. */
    default EngineClient engines(NodeSettings node, EngineClient engines) {
        return engines;
    }

    /** Returns the plain services that the node gets. */
    default ServiceClient services(NodeSettings node, ServiceClient services) {
        return services;
    }

    /** Returns the network to the peers that the node gets. */
    default PeerNetwork peers(NodeSettings node, PeerNetwork peers) {
        return peers;
    }
}
