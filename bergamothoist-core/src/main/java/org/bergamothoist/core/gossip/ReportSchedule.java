package org.bergamothoist.core.gossip;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Decides which daemons get a report in each round. Daemons that take callers' requests tell each
 * other their load at targets often; all others only learn who is alive, at longer intervals.
 * Confined to the control thread.
 */
public final class ReportSchedule {

    /** Interval between rounds; the load of targets changes within the time of a few requests. */
    public static final Duration ROUND_INTERVAL = Duration.ofMillis(200);

    /** Maximum number of receivers of a complete report in a round. */
    static final int MAXIMUM_RECEIVERS = 8;

    /** Time in which a daemon that takes callers' requests reaches all other daemons. */
    private static final Duration CALLER_DAEMON_INTERVAL = Duration.ofMillis(1_000);

    /** Time in which a daemon on standby reaches all other daemons. */
    private static final Duration STANDBY_INTERVAL = Duration.ofMillis(5_000);

    private int nextComplete;
    private int nextHeartbeat;

    /**
     * Receivers of a round.
     *
     * @param complete peer addresses that get the load at all targets
     * @param heartbeats peer addresses that get a report without targets
     */
    public record Round(List<String> complete, List<String> heartbeats) {}

    /**
     * What the receivers depend on.
     *
     * @param receivers peer addresses of all other daemons
     * @param callerPeers peer addresses of the daemons that take callers' requests; empty if they
     *     are not known yet
     * @param active whether this daemon takes callers' requests or has started recently
     * @param hasTargetReports whether this daemon has work at targets or orders for them
     */
    public record Situation(
            List<String> receivers,
            Set<String> callerPeers,
            boolean active,
            boolean hasTargetReports) {

        /** Returns the peer addresses that get complete reports in turn. */
        public List<String> completeReceivers() {
            if (!active && !hasTargetReports) {
                return List.of();
            }
            return callerPeers.isEmpty()
                    ? receivers
                    : receivers.stream().filter(callerPeers::contains).toList();
        }

        private List<String> heartbeatReceivers() {
            List<String> complete = completeReceivers();
            return complete.size() == receivers.size()
                    ? List.of()
                    : receivers.stream().filter(one -> !complete.contains(one)).toList();
        }

        private Duration heartbeatInterval() {
            return active ? CALLER_DAEMON_INTERVAL : STANDBY_INTERVAL;
        }
    }

    /** Returns the receivers of the next round. */
    public Round next(Situation situation) {
        List<String> complete = situation.completeReceivers();
        List<String> heartbeats = situation.heartbeatReceivers();
        int completeCount = Math.min(MAXIMUM_RECEIVERS, complete.size());
        int rounds = (int) situation.heartbeatInterval().dividedBy(ROUND_INTERVAL);
        int heartbeatCount = divideRoundingUp(heartbeats.size(), rounds);
        Round round =
                new Round(
                        slice(complete, nextComplete, completeCount),
                        slice(heartbeats, nextHeartbeat, heartbeatCount));
        nextComplete += completeCount;
        nextHeartbeat += heartbeatCount;
        return round;
    }

    private static int divideRoundingUp(int dividend, int divisor) {
        return (dividend + divisor - 1) / divisor;
    }

    private static List<String> slice(List<String> all, int start, int count) {
        List<String> slice = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            slice.add(all.get(Math.floorMod(start + index, all.size())));
        }
        return slice;
    }

    /** Returns the longest time until a receiver gets the next report. */
    public static Duration nextReportWithin(Situation situation) {
        Duration complete = completeInterval(situation.completeReceivers().size());
        boolean heartbeatsSent = !situation.heartbeatReceivers().isEmpty();
        return heartbeatsSent && situation.heartbeatInterval().compareTo(complete) > 0
                ? situation.heartbeatInterval()
                : complete;
    }

    /** Returns the longest time between two complete reports to each of a number of receivers. */
    public static Duration completeInterval(int receivers) {
        int rounds = divideRoundingUp(receivers, MAXIMUM_RECEIVERS);
        return ROUND_INTERVAL.multipliedBy(Math.max(1, rounds));
    }
}
