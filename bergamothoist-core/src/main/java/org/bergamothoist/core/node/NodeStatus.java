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
 * @param configuration how current the daemon's configuration is
 * @param appliedOffset offset of the last log record that the daemon has applied
 * @param confirmedAge time since the daemon last confirmed that it had read the whole log
 * @param organisations number of organisations in the accepted sheets
 * @param runningRequests number of accepted requests that have not finished
 * @param violations number of violations of each guarantee since the start
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
        List<PeerSummary> peers,
        List<TargetSummary> targets,
        Map<Guarantee, Long> violations) {

    public NodeStatus {
        peers = List.copyOf(peers);
        targets = List.copyOf(targets);
        violations = Map.copyOf(violations);
    }

    /**
     * Another daemon, as last reported to this one.
     *
     * @param live whether the latest information from it is recent
     */
    public record PeerSummary(
            DaemonId daemon,
            String callerAddress,
            DaemonStatus status,
            boolean live,
            long appliedOffset) {}

    /**
     * A target, as this daemon sees it.
     *
     * @param incarnation incarnation of the engine, or empty if it is unknown
     * @param outstanding estimated number of streams on the target
     */
    public record TargetSummary(
            TargetId target, String group, String state, String incarnation, int outstanding) {}
}
