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

/** Builds the status summary that operators see. Confined to the control thread. */
final class NodeStatusReporter {

    private final Dependencies dependencies;

    NodeStatusReporter(Dependencies dependencies) {
        this.dependencies = dependencies;
    }

    /** The components whose state is reported. */
    record Dependencies(
            NodeSettings settings,
            NodeLifecycle lifecycle,
            LogProgressView logProgress,
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
                dependencies.settings().self(),
                dependencies.settings().dataCentre(),
                dependencies.lifecycle().status(),
                dependencies.logProgress().configurationState(),
                dependencies.tail().appliedOffset(),
                dependencies.tail().confirmedAge().orElse(RosterDigest.INFINITE_AGE),
                dependencies.state().organisations().size(),
                dependencies.runningRequests().getAsInt(),
                peers(),
                targets(),
                dependencies.monitor().violations());
    }

    private List<NodeStatus.PeerSummary> peers() {
        List<NodeStatus.PeerSummary> peers = new ArrayList<>();
        for (PeerSnapshot peer : dependencies.membership().peers()) {
            String address =
                    dependencies
                            .state()
                            .rosterMember(peer.daemon().name())
                            .map(RosterMember::callerAddress)
                            .orElse("");
            peers.add(
                    new NodeStatus.PeerSummary(
                            peer.daemon(),
                            address,
                            peer.status(),
                            peer.live(),
                            peer.appliedOffset()));
        }
        return peers;
    }

    private List<NodeStatus.TargetSummary> targets() {
        List<NodeStatus.TargetSummary> targets = new ArrayList<>();
        dependencies
                .directory()
                .targets()
                .forEach(
                        (target, state) ->
                                targets.add(
                                        new NodeStatus.TargetSummary(
                                                target.id(),
                                                target.group(),
                                                state.name(),
                                                dependencies
                                                        .index()
                                                        .incarnation(target.id())
                                                        .map(Object::toString)
                                                        .orElse(""),
                                                dependencies.load().streams(target.id()))));
        return targets;
    }
}
