package org.bergamothoist.core.node;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.invariant.Guarantee;
import org.bergamothoist.core.log.ConfigurationState;
import org.bergamothoist.core.peer.PeerMessage.DaemonStatus;

/**
 * A summary of a daemon's state for operators.
 *
 * @param configuration how current its configuration is
 * @param confirmedAge time since the end of the log was last confirmed
 * @param runningRequests accepted requests that have not ended
 * @param violations violations of each guarantee since the start
 */
public record NodeStatus(
        DaemonId daemon,
        String dataCentre,
        DaemonStatus status,
        ConfigurationState configuration,
        long appliedOffset,
        Duration confirmedAge,
        int organisations,
        int runningRequests,
        List<PeerView> peers,
        List<TargetView> targets,
        Map<Guarantee, Long> violations) {

    public NodeStatus {
        peers = List.copyOf(peers);
        targets = List.copyOf(targets);
        violations = Map.copyOf(violations);
    }

    /** Another daemon as seen from here. */
    public record PeerView(
            DaemonId daemon,
            String callerAddress,
            DaemonStatus status,
            boolean live,
            long appliedOffset) {}

    /** A target as seen from here. */
    public record TargetView(
            TargetId target, String group, String state, String incarnation, int outstanding) {}
}
