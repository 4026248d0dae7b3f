package org.bergamothoist.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.OrganisationId;

/**
 * Computes this daemon's share of an organisation's limit from the demand that the daemons announce
 * in heartbeats.
 *
 * <p>Let L be the limit and n the number of daemons in the roster. A daemon gets the larger of
 * min(demand, L/n) and λ × demand, where λ is chosen so that the shares add up to L. A daemon uses
 * its own demand as last announced, and that of a peer from its last heartbeat within the window. A
 * peer without a heartbeat within the window is assumed to take an equal share.
 *
 * <p>Bound: while all heartbeats arrive, the shares add up to at most L, except while an
 * announcement is in transit. After lost heartbeats they can add up to more, for at most the
 * window; each single share is still at most L. A strict bound would have to use the minimum of the
 * own demand within the window. A caller that moves to another daemon would then get only a
 * fraction of an unused limit for that time. Confined to the control thread.
 */
public final class LimitShareCalculator {

    /**
     * Age up to which heartbeats are used; a daemon without a heartbeat for longer is considered
     * dead.
     */
    public static final Duration STANDARD_WINDOW = Duration.ofSeconds(3);

    /**
     * Minimum demand assumed for a daemon, as a fraction of L/n, so that an idle daemon can accept
     * its first requests immediately.
     */
    private static final double IDLE_DEMAND = 0.25;

    private final InstantSource clock;
    private final Duration window;
    private final Map<DaemonId, PeerDemand> demandByPeer = new HashMap<>();
    private Map<OrganisationId, Integer> ownDemand = Map.of();
    private int daemonCount = 1;

    /**
     * Creates a calculator for a roster of one daemon.
     *
     * @param window age up to which heartbeats are used
     */
    public LimitShareCalculator(InstantSource clock, Duration window) {
        this.clock = clock;
        this.window = window;
    }

    /** Sets the number of daemons in the roster, including this one. */
    public void setDaemonCount(int count) {
        daemonCount = Math.max(1, count);
    }

    /**
     * Sets the demand, in requests per second, that this daemon is about to announce in a
     * heartbeat.
     */
    public void setOwnDemand(Map<OrganisationId, Integer> demand) {
        ownDemand = Map.copyOf(demand);
    }

    /** Updates the demand of a peer from its heartbeat, in requests per second. */
    public void onHeartbeat(DaemonId peer, Map<OrganisationId, Integer> demand) {
        Instant now = clock.instant();
        demandByPeer.values().removeIf(previous -> isExpired(previous, now));
        demandByPeer.put(peer, new PeerDemand(now, Map.copyOf(demand)));
    }

    /** Removes a peer that has left. */
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
