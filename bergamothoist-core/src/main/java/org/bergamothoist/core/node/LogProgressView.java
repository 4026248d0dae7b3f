package org.bergamothoist.core.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.ConfigurationFreshness;
import org.bergamothoist.core.log.ConfigurationState;
import org.bergamothoist.core.log.LogTail;
import org.bergamothoist.core.log.SharedState;
import org.bergamothoist.core.membership.PeerMembership;
import org.bergamothoist.core.membership.PeerSnapshot;
import org.bergamothoist.core.sheet.SheetRolloutTracker;

/**
 * Combines how far this daemon and its peers have applied the log. Confined to the control thread.
 */
final class LogProgressView {

    private final DaemonId self;
    private final SharedState state;
    private final LogTail tail;
    private final PeerMembership membership;

    LogProgressView(DaemonId self, SharedState state, LogTail tail, PeerMembership membership) {
        this.self = self;
        this.state = state;
        this.tail = tail;
        this.membership = membership;
    }

    /** Returns whether the configuration of this daemon is current enough to serve. */
    ConfigurationState configurationState() {
        // Neither the last state nor a peer's view of it holds once records have been lost.
        if (tail.hasFallenBack()) {
            return ConfigurationState.STALE;
        }
        List<ConfigurationFreshness.PeerView> views = new ArrayList<>();
        for (PeerSnapshot peer : membership.peers()) {
            Duration confirmedAgeWhenSent = peer.confirmedAge().minus(peer.informationAge());
            views.add(
                    new ConfigurationFreshness.PeerView(
                            peer.daemon(),
                            peer.appliedOffset(),
                            confirmedAgeWhenSent.isNegative()
                                    ? Duration.ZERO
                                    : confirmedAgeWhenSent,
                            peer.informationAge(),
                            peer.firstHand()));
        }
        return ConfigurationFreshness.evaluate(
                new ConfigurationFreshness.OwnView(
                        self, tail.appliedOffset(), tail.confirmedAge(), tail.isReachable()),
                state.roster(),
                views);
    }

    /** Returns the applied offset of this daemon and of each peer. */
    List<SheetRolloutTracker.DaemonView> daemonViews() {
        List<SheetRolloutTracker.DaemonView> views = new ArrayList<>();
        views.add(new SheetRolloutTracker.DaemonView(self, tail.appliedOffset(), Duration.ZERO));
        for (PeerSnapshot peer : membership.peers()) {
            views.add(
                    new SheetRolloutTracker.DaemonView(
                            peer.daemon(), peer.appliedOffset(), peer.informationAge()));
        }
        return views;
    }
}
