package org.bergamothoist.core.membership;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;
import org.bergamothoist.core.peer.PeerMessage.DaemonStatus;
import org.bergamothoist.core.peer.PeerMessage.Outstanding;
import org.bergamothoist.core.platform.VirtualMachine;

/** What this daemon knows of itself and the fleet; read on the control thread. */
public interface HeartbeatSource {

    /** Returns the roster of the folded log; empty before the log could be read. */
    List<RosterMember> roster();

    /** Returns the platform's last list, to find peers while the roster is empty. */
    List<VirtualMachine> virtualMachines();

    /** Returns this daemon's status. Within an incarnation it never goes back. */
    DaemonStatus status();

    /** Returns the offset of the last record folded. */
    long appliedOffset();

    /** Returns the time since this daemon's view of the log was last confirmed to be current. */
    Duration confirmedAge();

    /** Returns the requests a second that this daemon is asked for, by organisation. */
    Map<OrganisationId, Integer> demand();

    /** Returns the targets to name as leaving, most important first. */
    List<TargetId> leavingTargets();

    /** Returns this daemon's outstanding work by target. */
    Map<TargetId, Outstanding> outstanding();
}
