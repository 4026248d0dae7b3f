package org.bergamothoist.core.gossip;

import java.util.List;
import org.bergamothoist.core.identity.DaemonId;

/**
 * What a daemon says about itself and the targets that it uses.
 *
 * @param sequence grows with each report of an incarnation
 * @param callerAddress where callers connect
 * @param peerAddress where other daemons connect and send reports
 * @param ready whether it takes callers' requests
 * @param storeReachable whether it can read the platform's store
 * @param orderHolder whether it holds the lease on orders, as far as it knows
 * @param targets what it has outstanding at targets, and the versions that it saw there
 */
public record DaemonReport(
        DaemonId daemon,
        long sequence,
        String callerAddress,
        String peerAddress,
        String dataCentre,
        boolean ready,
        boolean storeReachable,
        boolean orderHolder,
        long configurationVersion,
        List<TargetReport> targets) {

    public DaemonReport {
        targets = List.copyOf(targets);
    }

    /**
     * A daemon's view of one target.
     *
     * @param startedAtMilliseconds start of the target's incarnation, since the epoch
     * @param requests outstanding requests of this daemon
     * @param prefillTokens prompt tokens of these that were not read yet
     * @param weightVersion version of the weights seen there, or 0
     * @param changingWeights whether the target is loading weights
     */
    public record TargetReport(
            String target,
            long startedAtMilliseconds,
            int requests,
            long prefillTokens,
            int weightVersion,
            boolean changingWeights) {}
}
