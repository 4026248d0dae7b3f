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
public final class OrganisationShare {

    /** Time of the heartbeats that views are made from; a daemon that is silent longer is dead. */
    public static final Duration STANDARD_WINDOW = Duration.ofSeconds(3);

    /** Demand, as a share of L/n, that a daemon without demand counts with, to start at once. */
    private static final double IDLE_DEMAND = 0.25;

    private final InstantSource clock;
    private final Duration window;
    private final Map<DaemonId, Announcement> peers = new HashMap<>();
    private Map<OrganisationId, Integer> own = Map.of();
    private int daemons = 1;

    /** Creates shares for a single daemon. */
    public OrganisationShare(InstantSource clock, Duration window) {
        this.clock = clock;
        this.window = window;
    }

    /** Sets the number of daemons in the roster, this one included. */
    public void daemons(int count) {
        daemons = Math.max(1, count);
    }

    /** Takes the demand, in requests a second, that this daemon is about to send in a heartbeat. */
    public void announced(Map<OrganisationId, Integer> demand) {
        own = Map.copyOf(demand);
    }

    /** Takes the demand of a peer's heartbeat. */
    public void onHeartbeat(DaemonId peer, Map<OrganisationId, Integer> demand) {
        Instant now = clock.instant();
        peers.values().removeIf(announcement -> expired(announcement, now));
        peers.put(peer, new Announcement(now, Map.copyOf(demand)));
    }

    /** Forgets a peer that has left. */
    public void forget(DaemonId peer) {
        peers.remove(peer);
    }

    /**
     * Returns this daemon's share of the organisation's limit, from 0 to 1.
     *
     * @param requestsPerSecond the organisation's limit over all daemons
     */
    public double share(OrganisationId organisation, int requestsPerSecond) {
        double limit = Math.max(1, requestsPerSecond);
        Instant now = clock.instant();
        double[] demands = new double[peers.size() + 1];
        demands[0] = effective(own.getOrDefault(organisation, 0), limit);
        int known = 1;
        for (Announcement peer : peers.values()) {
            if (!expired(peer, now)) {
                demands[known++] = effective(peer.demand(organisation), limit);
            }
        }
        int counted = Math.max(daemons, known);
        double pool = limit * known / counted;
        return Shares.first(demands, known, pool, limit / counted) / limit;
    }

    private double effective(double demand, double limit) {
        return Math.min(limit, Math.max(demand, IDLE_DEMAND * limit / daemons));
    }

    private boolean expired(Announcement announcement, Instant now) {
        return announcement.at.isBefore(now.minus(window));
    }

    private record Announcement(Instant at, Map<OrganisationId, Integer> demand) {

        double demand(OrganisationId organisation) {
            return demand.getOrDefault(organisation, 0);
        }
    }
}
