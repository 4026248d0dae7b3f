package org.bergamothoist.daemon;

import org.bergamothoist.core.peer.PeerNetwork;
import org.bergamothoist.core.platform.CacheStore;
import org.bergamothoist.core.platform.EngineClient;
import org.bergamothoist.core.platform.LogService;
import org.bergamothoist.core.platform.ServiceClient;
import org.bergamothoist.core.platform.VirtualMachineList;
import org.bergamothoist.core.platform.WeightStore;

/** Everything through which a router reaches the world outside its process. */
public record NodeAdapters(
        LogService log,
        VirtualMachineList virtualMachines,
        EngineClient engines,
        ServiceClient services,
        WeightStore weights,
        CacheStore cacheStore,
        PeerNetwork peers) {}
