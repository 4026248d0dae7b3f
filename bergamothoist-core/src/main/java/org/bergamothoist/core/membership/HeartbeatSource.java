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

/** Supplies the local daemon's state for its heartbeats. Called on the control thread only. */
public interface HeartbeatSource {

    /** Returns the roster as of the last applied log record; empty before the log was read. */
    List<RosterMember> roster();

    /** Returns the platform's last list of VMs, used to find peers while the roster is empty. */
    List<VirtualMachine> virtualMachines();

    /** Returns this daemon's status, which only advances within an incarnation. */
    DaemonStatus status();

    /** Returns the offset of the last applied log record. */
    long appliedOffset();

    /** Returns the time since this daemon last confirmed that it had applied the whole log. */
    Duration confirmedAge();

    /** Returns the demand at this daemon in requests per second, by organisation. */
    Map<OrganisationId, Integer> demand();

    /** Returns the targets to announce as leaving, most important first. */
    List<TargetId> leavingTargets();

    /** Returns this daemon's outstanding work, by target. */
    Map<TargetId, Outstanding> outstanding();
}
