package org.bergamothoist.core.gossip;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
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
 * @param demands demand of organisations that have a quota
 * @param utilisation how much of its VM the daemon uses
 * @param storeReader whether the daemon reads the platform's store itself
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
        List<TargetReport> targets,
        List<OrganisationDemand> demands,
        Utilisation utilisation,
        boolean storeReader) {

    public DaemonReport {
        targets = List.copyOf(targets);
        demands = List.copyOf(demands);
    }

    /** Creates a report of a daemon that reads the store and has measured nothing else. */
    public DaemonReport(
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
        this(
                daemon,
                sequence,
                callerAddress,
                peerAddress,
                dataCentre,
                ready,
                storeReachable,
                orderHolder,
                configurationVersion,
                capacity,
                nextReportWithin,
                cacheStoreReachable,
                complete,
                targets,
                List.of(),
                Utilisation.NONE,
                true);
    }

    /** Returns the same report with other demands. */
    public DaemonReport withDemands(List<OrganisationDemand> other) {
        return new DaemonReport(
                daemon,
                sequence,
                callerAddress,
                peerAddress,
                dataCentre,
                ready,
                storeReachable,
                orderHolder,
                configurationVersion,
                capacity,
                nextReportWithin,
                cacheStoreReachable,
                complete,
                targets,
                other,
                utilisation,
                storeReader);
    }

    /**
     * Demand of an organisation at the reporting daemon.
     *
     * @param unitsPerSecond recent demand in the unit of the organisation's quota, with what was
     *     refused
     * @param unitsSpent units that this incarnation of the daemon has let run
     * @param knownUnitsPerSecond demand at all daemons that the reporting daemon hears, and its own
     * @param daemonsHeard number of daemons that take callers' requests and that the reporting
     *     daemon hears, itself included if it is one
     */
    public record OrganisationDemand(
            String organisation,
            double unitsPerSecond,
            double unitsSpent,
            double knownUnitsPerSecond,
            int daemonsHeard,
            int daemonsSharing,
            double fleetLevel) {}

    /**
     * Used shares of a VM, from 0 to 1.
     *
     * @param processor share of the processor capacity
     * @param link share of the network link's bandwidth
     */
    public record Utilisation(double processor, double link) {

        /** Nothing used, or nothing measured yet. */
        public static final Utilisation NONE = new Utilisation(0, 0);
    }

    /**
     * Measured speed of an engine.
     *
     * @param prefillTokensPerMillisecond prompt tokens that the engine computes per millisecond
     * @param eventGapMilliseconds longest usual time between two events of a stream
     * @param samples number of answers that the measurement rests on
     * @param age time since the last of them
     */
    public record SpeedReport(
            double prefillTokensPerMillisecond,
            double eventGapMilliseconds,
            int samples,
            Duration age) {}

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
     * @param memoryTokens tokens of these requests, prompts and expected output
     * @param urgentStreams number of these requests that are streams of the most urgent priority
     * @param speed the engine's speed, if the reporting daemon has measured it
     */
    public record TargetReport(
            String target,
            long startedAtMilliseconds,
            int requests,
            long prefillTokens,
            int weightVersion,
            boolean changingWeights,
            long memoryTokens,
            int urgentStreams,
            Optional<SpeedReport> speed) {

        /** Creates a report of a target of which only outstanding work and weights are known. */
        public TargetReport(
                String target,
                long startedAtMilliseconds,
                int requests,
                long prefillTokens,
                int weightVersion,
                boolean changingWeights) {
            this(
                    target,
                    startedAtMilliseconds,
                    requests,
                    prefillTokens,
                    weightVersion,
                    changingWeights,
                    0,
                    0,
                    Optional.empty());
        }
    }
}
