package org.bergamothoist.core.log;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;

/**
 * Decides whether a daemon may serve requests under the configuration that it has. The safety
 * argument is in {@code docs/decisions-configuration.md}.
 */
public final class ConfigurationFreshness {

    /** Time for which a confirmation, or a message from a peer, counts as recent. */
    public static final Duration FRESHNESS_WINDOW = Duration.ofSeconds(3);

    private ConfigurationFreshness() {}

    /**
     * What this daemon knows from reading the log itself.
     *
     * @param confirmedAge time since its state was last known to include the whole log
     */
    public record OwnView(
            DaemonId daemon,
            long appliedOffset,
            Optional<Duration> confirmedAge,
            boolean logReachable) {}

    /**
     * The last known state of another daemon.
     *
     * @param confirmedAge time between the daemon's last confirmation and its message
     * @param age upper bound of the time since the daemon sent the message. The time since its
     *     arrival is no such bound, since the network may delay messages; the time since the
     *     receiver sent the message that it acknowledges is one.
     * @param firstHand whether the daemon reported this itself. A report by a third daemon proves
     *     that the daemon is alive, but its confirmation may be of a later record than {@code
     *     appliedOffset}.
     */
    public record PeerView(
            DaemonId daemon,
            long appliedOffset,
            Duration confirmedAge,
            Duration age,
            boolean firstHand) {

        /** Creates a view that was reported by the daemon itself. */
        public PeerView(DaemonId daemon, long appliedOffset, Duration confirmedAge, Duration age) {
            this(daemon, appliedOffset, confirmedAge, age, true);
        }

        private boolean isRecent() {
            return age.compareTo(FRESHNESS_WINDOW) <= 0;
        }

        private boolean isFresh() {
            return isRecent() && confirmedAge.compareTo(FRESHNESS_WINDOW.minus(age)) <= 0;
        }
    }

    /**
     * Returns whether the configuration is current.
     *
     * @param roster roster in this daemon's shared state
     * @param peers views of other daemons, at most one for each
     */
    public static ConfigurationState evaluate(
            OwnView own, Collection<RosterMember> roster, Collection<PeerView> peers) {
        if (own.appliedOffset() == 0) {
            return ConfigurationState.NONE;
        }
        if (isFresh(own, peers)) {
            return ConfigurationState.FRESH;
        }
        boolean outage =
                !own.logReachable()
                        && peers.stream().noneMatch(peer -> mayBeNewer(own, peer))
                        && isMajorityHeard(own, roster, peers);
        return outage ? ConfigurationState.LOG_OUTAGE : ConfigurationState.STALE;
    }

    /** A peer at the same offset that read the log's end has confirmed this daemon's state too. */
    private static boolean isFresh(OwnView own, Collection<PeerView> peers) {
        boolean ownFresh =
                own.confirmedAge().filter(age -> age.compareTo(FRESHNESS_WINDOW) <= 0).isPresent();
        return ownFresh
                || peers.stream()
                        .filter(PeerView::isFresh)
                        .filter(PeerView::firstHand)
                        .anyMatch(peer -> peer.appliedOffset() == own.appliedOffset());
    }

    private static boolean mayBeNewer(OwnView own, PeerView peer) {
        return peer.isFresh() || (peer.isRecent() && peer.appliedOffset() > own.appliedOffset());
    }

    private static boolean isMajorityHeard(
            OwnView own, Collection<RosterMember> roster, Collection<PeerView> peers) {
        Set<DaemonId> heard = new HashSet<>();
        heard.add(own.daemon());
        peers.stream().filter(PeerView::isRecent).map(PeerView::daemon).forEach(heard::add);
        // Only incarnations in the roster count: a restarted daemon may be at an older offset.
        long heardMembers =
                roster.stream().map(RosterMember::daemon).filter(heard::contains).count();
        return heardMembers * 2 > roster.size();
    }
}
