package org.bergamothoist.core.log;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;

/**
 * Decides whether a daemon may serve under the configuration that it has. {@code
 * docs/decisions-configuration.md} has the safety argument.
 */
public final class ConfigurationFreshness {

    /** Time for which a confirmation, or what was heard from a peer, counts. */
    public static final Duration WINDOW = Duration.ofSeconds(3);

    private ConfigurationFreshness() {}

    /**
     * What a daemon knows by itself.
     *
     * @param confirmedAge time since its view was last known to contain the whole log
     */
    public record OwnView(
            DaemonId daemon,
            long appliedOffset,
            Optional<Duration> confirmedAge,
            boolean logReachable) {}

    /**
     * What was last heard from another daemon.
     *
     * @param confirmedAge time between the daemon's last confirmation and its message
     * @param age upper bound of the time since the daemon sent the message. The time since its
     *     arrival is not enough, since a message may be held up in the network; the time since the
     *     receiver's own message that it acknowledges is a bound.
     * @param firstHand whether the daemon itself said so. What others say of it proves that it
     *     lives, but their confirmation may be of a later record than its offset.
     */
    public record PeerView(
            DaemonId daemon,
            long appliedOffset,
            Duration confirmedAge,
            Duration age,
            boolean firstHand) {

        /** Creates a view that the daemon itself reported. */
        public PeerView(DaemonId daemon, long appliedOffset, Duration confirmedAge, Duration age) {
            this(daemon, appliedOffset, confirmedAge, age, true);
        }

        private boolean isRecent() {
            return age.compareTo(WINDOW) <= 0;
        }

        private boolean isFresh() {
            return isRecent() && confirmedAge.compareTo(WINDOW.minus(age)) <= 0;
        }
    }

    /**
     * Returns how current the configuration is.
     *
     * @param roster roster by the daemon's own fold
     * @param peers at most one view for each daemon
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
                        && peers.stream().noneMatch(peer -> contradicts(own, peer))
                        && isMajority(own, roster, peers);
        return outage ? ConfigurationState.LOG_OUTAGE : ConfigurationState.STALE;
    }

    /** A peer at the same offset that confirmed the log's end has confirmed this view as well. */
    private static boolean isFresh(OwnView own, Collection<PeerView> peers) {
        boolean ownFresh = own.confirmedAge().filter(age -> age.compareTo(WINDOW) <= 0).isPresent();
        return ownFresh
                || peers.stream()
                        .filter(PeerView::isFresh)
                        .filter(PeerView::firstHand)
                        .anyMatch(peer -> peer.appliedOffset() == own.appliedOffset());
    }

    private static boolean contradicts(OwnView own, PeerView peer) {
        return peer.isFresh() || (peer.isRecent() && peer.appliedOffset() > own.appliedOffset());
    }

    private static boolean isMajority(
            OwnView own, Collection<RosterMember> roster, Collection<PeerView> peers) {
        Set<DaemonId> heard = new HashSet<>();
        heard.add(own.daemon());
        peers.stream().filter(PeerView::isRecent).map(PeerView::daemon).forEach(heard::add);
        // Only the very incarnation of the roster counts: a restarted daemon may have gone back.
        long counted = roster.stream().map(RosterMember::daemon).filter(heard::contains).count();
        return counted * 2 > roster.size();
    }
}
