package org.bergamothoist.core.prefix;

import java.util.Collection;

/**
 * Decides which daemons read the cache events of a target, so that all together stay below the
 * target's limit of such calls. The other daemons rely on what they expect to be cached after their
 * own requests.
 */
public final class EventPollAssignment {

    /**
     * Share of a target's calls that is assigned; the rest is left for daemons with another view of
     * the fleet.
     */
    private static final double ASSIGNED_SHARE = 0.75;

    private EventPollAssignment() {}

    /**
     * Returns whether a daemon reads the events of a target.
     *
     * @param daemon peer address of the daemon
     * @param daemons peer addresses of the daemons that use targets
     * @param maximumCalls calls for events that the target serves at once
     */
    public static boolean isAssigned(
            String daemon, Collection<String> daemons, String target, int maximumCalls) {
        long assigned = Math.max(1, (long) (maximumCalls * ASSIGNED_SHARE));
        if (daemons.size() <= assigned) {
            return daemons.contains(daemon);
        }
        long own = RendezvousHash.score(daemon, target);
        long before =
                daemons.stream().filter(other -> RendezvousHash.score(other, target) > own).count();
        return daemons.contains(daemon) && before < assigned;
    }
}
