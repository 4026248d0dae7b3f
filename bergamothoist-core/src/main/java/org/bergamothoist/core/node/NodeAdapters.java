package org.bergamothoist.core.node;

import org.bergamothoist.core.peer.PeerNetwork;
import org.bergamothoist.core.platform.CacheStore;
import org.bergamothoist.core.platform.EngineClient;
import org.bergamothoist.core.platform.LogService;
import org.bergamothoist.core.platform.ServiceClient;
import org.bergamothoist.core.platform.VirtualMachineList;
import org.bergamothoist.core.platform.WeightStore;

/** Clients of the external systems and of the peer network that a node uses. */
public record NodeAdapters(
        LogService log,
        VirtualMachineList virtualMachines,
        EngineClient engines,
        ServiceClient services,
        WeightStore weights,
        CacheStore cacheStore,
        PeerNetwork peers) {}
