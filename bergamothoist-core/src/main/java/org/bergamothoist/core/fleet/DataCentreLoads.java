package org.bergamothoist.core.fleet;

import java.util.Map;
import java.util.TreeMap;

/**
 * Loads of a service's targets by data centre, and how much work the data centres above the common
 * mean should send to those below it.
 *
 * <p>A data centre is either above the mean or below it, so that with equal knowledge none both
 * sends and receives work; and the amounts of all senders together fill a receiver up to the mean.
 */
final class DataCentreLoads {

    /** Share of the capacity that is free when a data centre has room again. */
    static final double FREE_SHARE_OF_ROOM = 0.125;

    /**
     * Load of a data centre's targets.
     *
     * @param targets number of targets
     * @param occupancy mean used share of a target's capacity; above 1 if requests wait
     * @param levelMilliseconds mean work of a target beyond its capacity; below 0 if it has some
     *     left
     * @param waitMilliseconds mean time until a target would start one more request
     * @param capacityMilliseconds mean work that a target holds before requests wait
     * @param requests outstanding requests of all daemons
     * @param ownRequests outstanding requests of this daemon
     */
    record Load(
            int targets,
            double occupancy,
            double levelMilliseconds,
            double waitMilliseconds,
            double capacityMilliseconds,
            int requests,
            int ownRequests) {

        static final Load NONE = new Load(0, 0, 0, 0, 0, 0, 0);

        /** Returns the load of both; means are weighted by the number of targets. */
        Load plus(Load other) {
            int count = targets + other.targets;
            return new Load(
                    count,
                    mean(occupancy, other, other.occupancy),
                    mean(levelMilliseconds, other, other.levelMilliseconds),
                    mean(waitMilliseconds, other, other.waitMilliseconds),
                    mean(capacityMilliseconds, other, other.capacityMilliseconds),
                    requests + other.requests,
                    ownRequests + other.ownRequests);
        }

        private double mean(double own, Load other, double others) {
            return (own * targets + others * other.targets) / (targets + other.targets);
        }

        boolean isFull() {
            return occupancy >= 1;
        }

        boolean hasRoom() {
            return occupancy < 1 - FREE_SHARE_OF_ROOM;
        }

        /** Returns this daemon's share of the load; one request more keeps it above 0. */
        double ownShare() {
            return (ownRequests + 1.0) / (requests + 1.0);
        }
    }

    private final Map<String, Load> loads = new TreeMap<>();

    void add(String dataCentre, Load target) {
        loads.merge(dataCentre, target, Load::plus);
    }

    Load of(String dataCentre) {
        return loads.getOrDefault(dataCentre, Load.NONE);
    }

    Iterable<String> dataCentres() {
        return loads.keySet();
    }

    /** Returns the waiting time that a request saves by going from one data centre to another. */
    double savedMilliseconds(String from, String to) {
        return of(from).waitMilliseconds() - of(to).waitMilliseconds();
    }

    /**
     * Returns the work, in milliseconds of one target, that one data centre should send to another
     * until their levels are equal, or the sender has room.
     */
    double movableMilliseconds(String from, String to) {
        double mean = loads.values().stream().reduce(Load.NONE, Load::plus).levelMilliseconds();
        double surplus = aboveMean(of(from), mean);
        double deficit = -belowMean(of(to), mean);
        if (surplus <= 0 || deficit <= 0) {
            return 0;
        }
        double surpluses = loads.values().stream().mapToDouble(l -> aboveMean(l, mean)).sum();
        double deficits = -loads.values().stream().mapToDouble(l -> belowMean(l, mean)).sum();
        double levelling = deficit * surplus / surpluses;
        Load sender = of(from);
        double untilRoom =
                (sender.levelMilliseconds() + FREE_SHARE_OF_ROOM * sender.capacityMilliseconds())
                        * sender.targets();
        return Math.max(0, Math.min(levelling, untilRoom * deficit / deficits));
    }

    private static double aboveMean(Load load, double mean) {
        return Math.max(0, load.levelMilliseconds() - mean) * load.targets();
    }

    private static double belowMean(Load load, double mean) {
        return Math.min(0, load.levelMilliseconds() - mean) * load.targets();
    }
}
