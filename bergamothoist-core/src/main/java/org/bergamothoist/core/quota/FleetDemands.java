package org.bergamothoist.core.quota;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bergamothoist.core.gossip.DaemonReport;
import org.bergamothoist.core.gossip.DaemonReport.OrganisationDemand;
import org.bergamothoist.core.gossip.ReportSchedule;

/**
 * What the other daemons have reported of organisations' demand, and which part of the limits the
 * daemons that hear each other may use. Confined to the control thread.
 */
final class FleetDemands {

    /** Delay of a report beyond its interval that does not make its daemon count as silent. */
    private static final Duration REPORT_DELAY_TOLERANCE = Duration.ofMillis(300);

    /**
     * Time for which a share of the limits is kept for a daemon that has fallen silent while it
     * took callers' requests. It may run on behind a cut link, and cannot be told from one that has
     * died.
     */
    private static final Duration SILENT_DAEMON_RETENTION = Duration.ofMinutes(10);

    /** Time from a report to its use by its receiver, beyond its interval. */
    private static final Duration USUAL_REPORT_DELAY = Duration.ofMillis(100);

    /** Age at which the view is computed again: a small part of the interval between reports. */
    private static final Duration MAXIMUM_VIEW_AGE = Duration.ofMillis(50);

    /** Part of the credit that is divided equally, so that a daemon can admit first requests. */
    private static final double EQUAL_PART = 0.3;

    private final String self;
    private final CallerDaemonSource callers;
    private final InstantSource clock;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Map<String, Instant> callerAt = new HashMap<>();
    private Instant viewedAt = Instant.MIN;
    private View view;

    /** Number of daemons to assume while none is heard. */
    private int assumedCount;

    FleetDemands(String self, CallerDaemonSource callers, InstantSource clock) {
        this.self = self;
        this.callers = callers;
        this.clock = clock;
    }

    /** The last report of another daemon. */
    record Peer(
            String name, long incarnation, Instant at, Map<String, OrganisationDemand> demands) {}

    /** A report and the previous one of the same daemon. */
    record Update(Peer peer, Optional<Peer> previous) {}

    /** Stores a report. */
    Update update(DaemonReport report) {
        Map<String, OrganisationDemand> demands = new HashMap<>();
        report.demands().forEach(demand -> demands.put(demand.organisation(), demand));
        Peer peer =
                new Peer(
                        report.daemon().name(),
                        report.daemon().incarnation(),
                        clock.instant(),
                        demands);
        return new Update(peer, Optional.ofNullable(peers.put(peer.name(), peer)));
    }

    /** Returns the current view, which is computed anew if it is older than a few requests. */
    View view() {
        Instant now = clock.instant();
        if (view == null || !now.isBefore(viewedAt.plus(MAXIMUM_VIEW_AGE))) {
            view = computeView(now);
            viewedAt = now;
        }
        return view;
    }

    private View computeView(Instant now) {
        Instant oldest = now.minus(SILENT_DAEMON_RETENTION);
        peers.values().removeIf(peer -> peer.at().isBefore(oldest));
        Duration interval = ReportSchedule.completeInterval(callerAt.size());
        Instant oldestHeard = now.minus(interval.plus(REPORT_DELAY_TOLERANCE));
        List<Peer> heard = new ArrayList<>(peers.size());
        Set<String> heardNames = new HashSet<>();
        heardNames.add(self);
        for (Peer peer : peers.values()) {
            if (!peer.at().isBefore(oldestHeard)) {
                heard.add(peer);
                heardNames.add(peer.name());
            }
        }
        updateCallers(heardNames, now);

        int count = callerAt.size();
        int assumed = callers.assumedCount();
        if (heard.isEmpty()) {
            assumedCount = Math.max(assumedCount, assumed);
            count = Math.max(count, assumedCount);
        } else {
            assumedCount = assumed;
        }
        Set<String> silent = new HashSet<>(callerAt.keySet());
        silent.removeAll(heardNames);
        Duration hearingTime = interval.plus(USUAL_REPORT_DELAY);
        return new View(
                heard,
                Math.max(1, count),
                silent,
                callerAt.size() - silent.size(),
                callerAt.containsKey(self) ? count : Math.max(count, peers.size()) + 1,
                hearingTime,
                unheardSince(heard, now.minus(hearingTime)));
    }

    /**
     * Returns the instant since which other daemons may not have heard what this one spends: if one
     * of them has not been heard lately, it may not hear this one either.
     */
    private Instant unheardSince(List<Peer> heard, Instant usual) {
        Instant since = usual;
        for (Peer peer : heard) {
            Instant at = peer.at().minus(USUAL_REPORT_DELAY);
            if (at.isBefore(since) && callerAt.containsKey(peer.name())) {
                since = at;
            }
        }
        return since;
    }

    /**
     * Updates the daemons that share the limits. While one of them is silent none is added, since
     * the daemons on the other side of a cut add theirs too.
     */
    private void updateCallers(Set<String> heardNames, Instant now) {
        Set<String> assigned = callers.names();
        Instant oldest = now.minus(SILENT_DAEMON_RETENTION);
        callerAt.values().removeIf(at -> at.isBefore(oldest));
        // A daemon that is heard and no longer assigned has given its share up itself.
        callerAt.keySet().removeIf(name -> heardNames.contains(name) && !assigned.contains(name));
        boolean allHeard = heardNames.containsAll(callerAt.keySet());
        for (String name : assigned) {
            if (allHeard || callerAt.containsKey(name)) {
                callerAt.put(name, now);
            }
        }
    }

    /**
     * The daemons at an instant.
     *
     * @param heard last reports of the daemons that are heard
     * @param count number of daemons that share the limits, the silent ones included
     * @param heardCallers number of those that are heard, this one included
     * @param equalParts number of equal parts of which this daemon has one; more than the count if
     *     this daemon is on standby
     * @param silent names of those that are not heard
     * @param hearingTime time after which all daemons have heard what this one reports
     * @param unheardSince instant since which others may not have heard what this one spends
     */
    record View(
            List<Peer> heard,
            int count,
            Set<String> silent,
            int heardCallers,
            int equalParts,
            Duration hearingTime,
            Instant unheardSince) {

        /** Returns the demand at this daemon and at those that it hears. */
        double known(String organisation, double ownDemand) {
            double sum = ownDemand;
            for (Peer peer : heard) {
                OrganisationDemand demand = peer.demands().get(organisation);
                sum += demand == null ? 0 : demand.unitsPerSecond();
            }
            return sum;
        }

        /**
         * Returns this daemon's share of an organisation's quota.
         *
         * @param announcedDemand demand at this daemon that all daemons that hear it know of
         * @param ownDemand demand at this daemon
         */
        Share share(String organisation, double announcedDemand, double ownDemand) {
            int sharing = count;
            int covered = heardCallers;
            double others = 0;
            double reported = 0;
            double levels = 0;
            int levelCount = 0;
            for (Peer peer : heard) {
                OrganisationDemand demand = peer.demands().get(organisation);
                if (demand != null) {
                    sharing = Math.max(sharing, demand.daemonsSharing());
                    covered = Math.max(covered, demand.daemonsHeard());
                    others += demand.unitsPerSecond();
                    reported = Math.max(reported, demand.knownUnitsPerSecond());
                    levels += demand.fleetLevel();
                    levelCount++;
                }
            }
            int parts = Math.max(equalParts, sharing);
            double accounted = Math.max(Math.min(1, (double) covered / sharing), 1.0 / parts);
            if (heardCallers < count && reported > 0) {
                accounted *= Math.min(1, (others + ownDemand) / reported);
            }
            double total = others + announcedDemand;
            double byDemand = total > 0 ? announcedDemand / total : 0;
            int equal = Math.max(1, Math.min(parts, heardCallers + parts - sharing));
            return new Share(
                    total > 0 ? EQUAL_PART / equal + (1 - EQUAL_PART) * byDemand : 1.0 / equal,
                    accounted,
                    levelCount > 0 ? levels / levelCount : Double.NaN);
        }
    }

    /**
     * What a daemon may use of an organisation's quota.
     *
     * @param ofCredit part of the credit that it may use before others hear of it, from 0 to 1
     * @param accounted part of the quota that the daemons may use whose spending it hears of, from
     *     0 to 1: while it does not hear a daemon, it relies on what others hear of that one, and
     *     leaves its equal part to a daemon that nobody hears
     * @param meanLevel mean of the levels that other daemons have reported, or NaN if none has
     */
    record Share(double ofCredit, double accounted, double meanLevel) {

        /** The share of a daemon that is alone. */
        static final Share ALL = new Share(1, 1, Double.NaN);
    }
}
