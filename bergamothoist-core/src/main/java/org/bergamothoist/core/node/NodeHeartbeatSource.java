package org.bergamothoist.core.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.limit.LimitShareCalculator;
import org.bergamothoist.core.log.LogTail;
import org.bergamothoist.core.log.SharedState;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;
import org.bergamothoist.core.membership.HeartbeatSource;
import org.bergamothoist.core.membership.TargetDirectory;
import org.bergamothoist.core.peer.PeerMessage.DaemonStatus;
import org.bergamothoist.core.peer.PeerMessage.Outstanding;
import org.bergamothoist.core.peer.RosterDigest;
import org.bergamothoist.core.placement.LoadEstimator;
import org.bergamothoist.core.platform.VirtualMachine;

/** Supplies the content of this daemon's heartbeats. Confined to the control thread. */
final class NodeHeartbeatSource implements HeartbeatSource {

    private final SharedState state;
    private final TargetDirectory directory;
    private final LogTail tail;
    private final LoadEstimator load;
    private final LimitShareCalculator share;
    private final Supplier<Map<OrganisationId, Long>> demandRates;
    private final Supplier<DaemonStatus> status;

    NodeHeartbeatSource(
            SharedState state,
            TargetDirectory directory,
            LogTail tail,
            LoadEstimator load,
            LimitShareCalculator share,
            Supplier<Map<OrganisationId, Long>> demandRates,
            Supplier<DaemonStatus> status) {
        this.state = state;
        this.directory = directory;
        this.tail = tail;
        this.load = load;
        this.share = share;
        this.demandRates = demandRates;
        this.status = status;
    }

    @Override
    public List<RosterMember> roster() {
        return List.copyOf(state.roster());
    }

    @Override
    public List<VirtualMachine> virtualMachines() {
        return directory.virtualMachines();
    }

    @Override
    public DaemonStatus status() {
        return status.get();
    }

    @Override
    public long appliedOffset() {
        return tail.appliedOffset();
    }

    @Override
    public Duration confirmedAge() {
        return tail.confirmedAge().orElse(RosterDigest.INFINITE_AGE);
    }

    @Override
    public Map<OrganisationId, Integer> demand() {
        Map<OrganisationId, Integer> demand = new HashMap<>();
        demandRates
                .get()
                .forEach((organisation, rate) -> demand.put(organisation, rate.intValue()));
        share.setOwnDemand(demand);
        return demand;
    }

    @Override
    public List<TargetId> leavingTargets() {
        return directory.leavingTargets();
    }

    @Override
    public Map<TargetId, Outstanding> outstanding() {
        return load.ownOutstanding();
    }
}
