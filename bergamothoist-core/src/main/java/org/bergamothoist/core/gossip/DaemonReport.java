package org.bergamothoist.core.gossip;

import java.time.Duration;
import java.util.List;
import org.bergamothoist.core.identity.DaemonId;

/**
 * A daemon's periodic report of its own state and of the targets that it uses.
 *
 * @param sequence number that increases with each report of an incarnation
 * @param callerAddress address at which callers connect, {@code host:port}
 * @param peerAddress address at which other daemons connect and send reports, {@code host:port}
 * @param ready whether the daemon accepts callers' requests
 * @param storeReachable whether the daemon can read the platform's store
 * @param orderHolder whether the daemon, by its own state, holds the lease for sending orders to
 *     engines
 * @param configurationVersion version of the operators' configuration that the daemon uses
 * @param capacity processor capacity of the daemon's VM, in cores
 * @param nextReportWithin longest time until the receiver gets the next report
 * @param cacheStoreReachable whether the daemon reads the KV cache store's events
 * @param complete whether the daemon has no outstanding work at targets that are not listed
 * @param targets outstanding work and observed weight version of targets
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
        double capacity,
        Duration nextReportWithin,
        boolean cacheStoreReachable,
        boolean complete,
        List<TargetReport> targets) {

    public DaemonReport {
        targets = List.copyOf(targets);
    }

    /**
     * What a daemon reports of one target.
     *
     * @param startedAtMilliseconds start of the target's incarnation in milliseconds since the
     *     epoch
     * @param requests number of the reporting daemon's outstanding requests
     * @param prefillTokens prompt tokens of these requests that the target has not prefilled yet
     * @param weightVersion version of the weights that was observed, or 0 if unknown
     * @param changingWeights whether the target is loading weights by an order of the reporting
     *     daemon
     */
    public record TargetReport(
            String target,
            long startedAtMilliseconds,
            int requests,
            long prefillTokens,
            int weightVersion,
            boolean changingWeights) {}
}
