package org.bergamothoist.core.node;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntSupplier;
import org.bergamothoist.core.cache.CacheIndex;
import org.bergamothoist.core.invariant.CountingInvariantMonitor;
import org.bergamothoist.core.log.LogTail;
import org.bergamothoist.core.log.SharedState;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;
import org.bergamothoist.core.membership.PeerMembership;
import org.bergamothoist.core.membership.PeerSnapshot;
import org.bergamothoist.core.membership.TargetDirectory;
import org.bergamothoist.core.peer.RosterDigest;
import org.bergamothoist.core.placement.LoadEstimator;

/** Summarises a node for operators. Confined to the control thread. */
final class NodeStatusReporter {

    private final Parts parts;

    NodeStatusReporter(Parts parts) {
        this.parts = parts;
    }

    /** What the reporter reads. */
    record Parts(
            NodeSettings settings,
            NodeLifecycle lifecycle,
            ConfigurationView configuration,
            SharedState state,
            LogTail tail,
            PeerMembership membership,
            TargetDirectory directory,
            CacheIndex index,
            LoadEstimator load,
            CountingInvariantMonitor monitor,
            IntSupplier runningRequests) {}

    NodeStatus report() {
        return new NodeStatus(
                parts.settings().self(),
                parts.settings().dataCentre(),
                parts.lifecycle().status(),
                parts.configuration().configuration(),
                parts.tail().appliedOffset(),
                parts.tail().confirmedAge().orElse(RosterDigest.NEVER_CONFIRMED),
                parts.state().organisations().size(),
                parts.runningRequests().getAsInt(),
                peers(),
                targets(),
                parts.monitor().violations());
    }

    private List<NodeStatus.PeerView> peers() {
        List<NodeStatus.PeerView> peers = new ArrayList<>();
        for (PeerSnapshot peer : parts.membership().peers()) {
            String address =
                    parts.state()
                            .rosterMember(peer.daemon().name())
                            .map(RosterMember::callerAddress)
                            .orElse("");
            peers.add(
                    new NodeStatus.PeerView(
                            peer.daemon(),
                            address,
                            peer.status(),
                            peer.live(),
                            peer.appliedOffset()));
        }
        return peers;
    }

    private List<NodeStatus.TargetView> targets() {
        List<NodeStatus.TargetView> targets = new ArrayList<>();
        parts.directory()
                .targets()
                .forEach(
                        (target, state) ->
                                targets.add(
                                        new NodeStatus.TargetView(
                                                target.id(),
                                                target.group(),
                                                state.name(),
                                                parts.index()
                                                        .incarnation(target.id())
                                                        .map(Object::toString)
                                                        .orElse(""),
                                                parts.load().streams(target.id()))));
        return targets;
    }
}
