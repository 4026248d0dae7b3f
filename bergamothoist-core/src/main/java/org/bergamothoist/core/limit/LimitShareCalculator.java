package org.bergamothoist.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.OrganisationId;

/**
 * Computes this daemon's share of an organisation's limit from the demand in heartbeats.
 *
 * <p>With L the limit and n the daemons of the roster, a daemon gets the larger of min(demand, L/n)
 * and λ times its demand, with one λ so that the shares add up to L. A daemon counts its own demand
 * as last announced, and a peer's as last heard within the window; a peer that was not heard within
 * the window is given an equal share.
 *
 * <p>Bound: while every announcement reaches every peer, the shares add up to at most L, except for
 * the time that an announcement is under way. After lost heartbeats they can add up to more, for at
 * most the window; each share is still at most L. A strict bound would count the own demand as the
 * least of the window, which gives a caller that moves to another daemon a fraction of an unused
 * limit for as long. Confined to the control thread.
 */
public final class LimitShareCalculator {

    /** Time of the heartbeats that views are made from; a daemon that is silent longer is dead. */
    public static final Duration STANDARD_WINDOW = Duration.ofSeconds(3);

    /** Demand, as a share of L/n, that a daemon without demand counts with, to start at once. */
    private static final double IDLE_DEMAND = 0.25;

    private final InstantSource clock;
    private final Duration window;
    private final Map<DaemonId, PeerDemand> demandByPeer = new HashMap<>();
    private Map<OrganisationId, Integer> ownDemand = Map.of();
    private int daemonCount = 1;

    /** Creates shares for a single daemon. */
    public LimitShareCalculator(InstantSource clock, Duration window) {
        this.clock = clock;
        this.window = window;
    }

    /** Sets the number of daemons in the roster, this one included. */
    public void setDaemonCount(int count) {
        daemonCount = Math.max(1, count);
    }

    /** Takes the demand, in requests a second, that this daemon is about to send in a heartbeat. */
    public void setOwnDemand(Map<OrganisationId, Integer> demand) {
        ownDemand = Map.copyOf(demand);
    }

    /** Takes the demand of a peer's heartbeat. */
    public void onHeartbeat(DaemonId peer, Map<OrganisationId, Integer> demand) {
        Instant now = clock.instant();
        demandByPeer.values().removeIf(announcement -> isExpired(announcement, now));
        demandByPeer.put(peer, new PeerDemand(now, Map.copyOf(demand)));
    }

    /** Forgets a peer that has left. */
    public void removePeer(DaemonId peer) {
        demandByPeer.remove(peer);
    }

    /**
     * Returns this daemon's share of the organisation's limit, from 0 to 1.
     *
     * @param requestsPerSecond the organisation's limit over all daemons
     */
    public double share(OrganisationId organisation, int requestsPerSecond) {
        double limit = Math.max(1, requestsPerSecond);
        Instant now = clock.instant();
        double[] demands = new double[demandByPeer.size() + 1];
        demands[0] = effectiveDemand(ownDemand.getOrDefault(organisation, 0), limit);
        int knownDaemons = 1;
        for (PeerDemand peer : demandByPeer.values()) {
            if (!isExpired(peer, now)) {
                demands[knownDaemons++] = effectiveDemand(peer.demand(organisation), limit);
            }
        }
        int totalDaemons = Math.max(daemonCount, knownDaemons);
        double pool = limit * knownDaemons / totalDaemons;
        return ProportionalShares.firstShare(demands, knownDaemons, pool, limit / totalDaemons)
                / limit;
    }

    private double effectiveDemand(double demand, double limit) {
        return Math.min(limit, Math.max(demand, IDLE_DEMAND * limit / daemonCount));
    }

    private boolean isExpired(PeerDemand peer, Instant now) {
        return peer.receivedAt.isBefore(now.minus(window));
    }

    private record PeerDemand(Instant receivedAt, Map<OrganisationId, Integer> demand) {

        double demand(OrganisationId organisation) {
            return demand.getOrDefault(organisation, 0);
        }
    }
}
