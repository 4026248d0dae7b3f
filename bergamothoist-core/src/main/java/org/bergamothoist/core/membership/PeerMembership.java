package org.bergamothoist.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;
import org.bergamothoist.core.peer.PeerMessage.DaemonStatus;
import org.bergamothoist.core.peer.PeerMessage.Heartbeat;
import org.bergamothoist.core.peer.PeerMessage.Outstanding;
import org.bergamothoist.core.peer.PeerNetwork;
import org.bergamothoist.core.peer.RosterDigest;
import org.bergamothoist.core.platform.VirtualMachine;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.core.timeline.EventKind;
import org.bergamothoist.core.timeline.Timeline;

/**
 * Sends heartbeats and keeps what was heard of other daemons. Confined to the control thread. The
 * clock must not step back, since ages are differences of its times.
 */
public final class PeerMembership {

    /** Daemons outside the roster that are remembered; they join soon or are about to stop. */
    private static final int MAXIMUM_UNLISTED_PEERS = 1_024;

    /** Time after its last message for which a daemon outside the roster is remembered. */
    private static final Duration UNLISTED_PEER_RETENTION = Duration.ofMinutes(5);

    /** Age up to which a peer's outstanding work counts. */
    private static final Duration OUTSTANDING_LIFETIME = Duration.ofSeconds(5);

    /** Age up to which a peer's demand counts in a small fleet. */
    private static final Duration MINIMUM_DEMAND_LIFETIME = Duration.ofSeconds(5);

    /**
     * Silence after which a large fleet's daemon is put on the timeline as down. News take up to a
     * few seconds there, and events for each late one would displace all others.
     */
    private static final Duration SAMPLED_DOWN_AFTER = Duration.ofSeconds(10);

    /** In one of so many slots, a peer is sent to even if it is down. */
    private static final int SLOTS_FOR_EACH_TRY = 8;

    /** A peer is sent to once in a round, at most twice as late in the worst order. */
    private static final int ROUNDS_OF_DEMAND = 2;

    private final DaemonId self;
    private final String selfAddress;
    private final PeerNetwork network;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final Timeline timeline;
    private final HeartbeatSource source;
    private final MembershipSettings settings;
    private final Consumer<List<TargetId>> leavingTargetsListener;
    private final HeartbeatComposer composer;
    private final PeerSchedule schedule;
    private final RosterIndex roster = new RosterIndex();
    private final Map<String, PeerState> peers = new HashMap<>();
    private final Set<DaemonId> reportedLive = new HashSet<>();
    private Instant confirmedAt = Instant.MIN;
    private Scheduler.Cancellable nextTick = () -> {};
    private boolean running;

    /**
     * Creates the membership of one daemon.
     *
     * @param selfAddress peer address of this daemon, {@code host:port}
     * @param leavingTargetsListener is given the targets that other daemons know to be leaving
     */
    public PeerMembership(
            DaemonId self,
            String selfAddress,
            PeerNetwork network,
            Scheduler scheduler,
            InstantSource clock,
            RandomGenerator random,
            Timeline timeline,
            HeartbeatSource source,
            MembershipSettings settings,
            Consumer<List<TargetId>> leavingTargetsListener) {
        this.self = Objects.requireNonNull(self);
        this.selfAddress = Objects.requireNonNull(selfAddress);
        this.network = Objects.requireNonNull(network);
        this.scheduler = Objects.requireNonNull(scheduler);
        this.clock = Objects.requireNonNull(clock);
        this.timeline = Objects.requireNonNull(timeline);
        this.source = Objects.requireNonNull(source);
        this.settings = Objects.requireNonNull(settings);
        this.leavingTargetsListener = Objects.requireNonNull(leavingTargetsListener);
        this.composer = new HeartbeatComposer(source);
        this.schedule = new PeerSchedule(selfAddress, random.nextDouble());
    }

    /** Starts to send heartbeats. */
    public void start() {
        running = true;
        scheduleTick(slotLength(peerAddresses()));
    }

    /** Stops to send heartbeats. */
    public void stop() {
        running = false;
        nextTick.cancel();
    }

    /** Sends a heartbeat to as many peers as one period allows; for changes of the own status. */
    public void announce() {
        Set<String> addresses = peerAddresses();
        if (addresses.size() <= settings.allPeersUpTo()) {
            // The schedule changes its order between rounds, so that as many slots as there are
            // peers can name one peer twice and leave out another.
            addresses.forEach(address -> send(address, addresses.size()));
            return;
        }
        long slot = schedule.slot(clock.instant(), slotLength(addresses));
        int count = settings.allPeersUpTo();
        for (int sent = 0; sent < count; sent++) {
            send(schedule.peer(addresses, slot + sent, address -> true), addresses.size());
        }
    }

    /**
     * Sends a heartbeat to all peers because the own outstanding work has grown much. Does nothing
     * in a large fleet, where the traffic of heartbeats is bounded.
     */
    public void announceLoad() {
        if (peerAddresses().size() <= settings.allPeersUpTo()) {
            announce();
        }
    }

    /**
     * Takes in a heartbeat.
     *
     * @param receivedAt time at which the network delivered it, taken before it was posted to the
     *     control thread, so that the wait counts towards its age
     */
    public void onHeartbeat(DaemonId sender, Heartbeat heartbeat, Instant receivedAt) {
        roster.update(source.roster());
        PeerState peer = sender.name().equals(self.name()) ? null : stateFor(sender);
        if (peer == null || !peer.hear(heartbeat, receivedAt)) {
            return;
        }
        RosterDigest digest = heartbeat.others();
        confirm(receivedAt.minus(heartbeat.confirmedAge()));
        confirm(receivedAt.minus(digest.confirmedAge()));
        hearOfOthers(digest, receivedAt);
        if (!heartbeat.leavingTargets().isEmpty()) {
            leavingTargetsListener.accept(heartbeat.leavingTargets());
        }
        reportChanges();
    }

    private void hearOfOthers(RosterDigest digest, Instant receivedAt) {
        List<DaemonId> order = roster.order(digest.rosterKey());
        for (RosterDigest.Member member : digest.members()) {
            if (member.position() >= order.size()) {
                return;
            }
            DaemonId daemon = order.get(member.position());
            PeerState state = daemon.name().equals(self.name()) ? null : stateFor(daemon);
            if (state != null) {
                state.hearOf(member, receivedAt);
            }
        }
    }

    /** Returns the state of the daemon, or null if a newer incarnation is known. */
    private PeerState stateFor(DaemonId daemon) {
        PeerState known = peers.get(daemon.name());
        if (known != null && known.daemon().incarnation() >= daemon.incarnation()) {
            return known.daemon().equals(daemon) ? known : null;
        }
        boolean full = peers.size() >= roster.order().size() + MAXIMUM_UNLISTED_PEERS;
        if (known == null && full && !roster.contains(daemon)) {
            return null;
        }
        PeerState created = new PeerState(daemon);
        peers.put(daemon.name(), created);
        return created;
    }

    private void confirm(Instant at) {
        confirmedAt = PeerState.later(confirmedAt, at);
    }

    private void scheduleTick(Duration slotLength) {
        Duration delay = schedule.untilNextSlot(clock.instant(), slotLength);
        nextTick = scheduler.schedule(delay, this::tick);
    }

    private void tick() {
        if (!running) {
            return;
        }
        roster.update(source.roster());
        Set<String> addresses = peerAddresses();
        Duration slotLength = slotLength(addresses);
        scheduleTick(slotLength);
        removeExpiredUnlistedPeers();
        reportChanges();
        long slot = schedule.slot(clock.instant(), slotLength);
        String address = schedule.peer(addresses, slot, peersToUse(addresses.size(), slot));
        if (address != null) {
            send(address, addresses.size());
        }
    }

    /**
     * Returns which peers to send to. All of them, except in a large fleet, where those that are
     * down are only tried in some slots, so that the two sides of a partition find each other.
     */
    private Predicate<String> peersToUse(int peerCount, long slot) {
        boolean all = peerCount <= settings.allPeersUpTo() || slot % SLOTS_FOR_EACH_TRY == 0;
        if (all) {
            return address -> true;
        }
        Instant now = clock.instant();
        Set<String> down = new HashSet<>();
        for (RosterMember member : roster.current()) {
            PeerState state = state(member.daemon());
            if (state == null || !isLive(state, now)) {
                down.add(member.peerAddress());
            }
        }
        return address -> !down.contains(address);
    }

    private Duration slotLength(Set<String> addresses) {
        return settings.period().dividedBy(settings.heartbeatsEachPeriod(addresses.size()));
    }

    /**
     * Answers the heartbeat of a daemon that is not in the roster, at most once in a period. While
     * the log cannot be read, a daemon on a new VM cannot join, and the others would never send to
     * it.
     */
    public void answerStranger(DaemonId daemon, String address) {
        roster.update(source.roster());
        PeerState stranger = state(daemon);
        if (!running || roster.contains(daemon) || stranger == null) {
            return;
        }
        // Without the bound, two daemons that are strangers to each other would never stop.
        if (stranger.answerDue(clock.instant(), settings.period())) {
            send(address, peerAddresses().size());
        }
    }

    private void send(String address, int peerCount) {
        network.composeAndSend(address, () -> composeHeartbeat(peerCount));
    }

    private Heartbeat composeHeartbeat(int peerCount) {
        roster.update(source.roster());
        Instant now = clock.instant();
        confirm(now.minus(HeartbeatComposer.bounded(source.confirmedAge())));
        return composer.compose(
                roster, this::state, confirmedAt, now, settings.heartbeatBytes(peerCount));
    }

    private PeerState state(DaemonId daemon) {
        PeerState state = peers.get(daemon.name());
        return state != null && state.daemon().equals(daemon) ? state : null;
    }

    /** Returns the addresses of the roster, or of the platform's list while there is no roster. */
    private Set<String> peerAddresses() {
        Set<String> addresses = new HashSet<>();
        for (RosterMember member : roster.current()) {
            addresses.add(member.peerAddress());
        }
        if (addresses.isEmpty()) {
            for (VirtualMachine machine : source.virtualMachines()) {
                if (machine.role() == VirtualMachine.Role.ENTRY) {
                    addresses.add(machine.host() + ":" + machine.port());
                }
            }
        }
        addresses.remove(selfAddress);
        return addresses;
    }

    /** Returns the roster's other daemons as seen from here, in the roster's order. */
    public List<PeerView> peers() {
        roster.update(source.roster());
        Instant now = clock.instant();
        List<PeerView> views = new ArrayList<>();
        for (DaemonId daemon : roster.order()) {
            if (!daemon.name().equals(self.name())) {
                views.add(view(daemon, now));
            }
        }
        return views;
    }

    private PeerView view(DaemonId daemon, Instant now) {
        PeerState state = state(daemon);
        if (state == null) {
            return new PeerView(
                    daemon,
                    DaemonStatus.STARTING,
                    0,
                    RosterDigest.NEVER_CONFIRMED,
                    RosterDigest.NEVER_CONFIRMED,
                    false,
                    false);
        }
        return new PeerView(
                daemon,
                state.status(),
                state.appliedOffset(),
                PeerState.age(state.confirmedAt(confirmedAt), now),
                PeerState.age(state.heardAt(), now),
                isLive(state, now),
                state.isFirstHand());
    }

    /** Returns the daemons of the roster that live, this one included. */
    public Set<DaemonId> liveDaemons() {
        Set<DaemonId> live = new HashSet<>();
        for (PeerView view : peers()) {
            if (view.live()) {
                live.add(view.daemon());
            }
        }
        if (roster.contains(self)) {
            live.add(self);
        }
        return live;
    }

    /** Returns the members of the roster that live and serve, this one included if it does. */
    public List<RosterMember> servingMembers() {
        roster.update(source.roster());
        Instant now = clock.instant();
        return roster.current().stream().filter(member -> serves(member.daemon(), now)).toList();
    }

    private boolean serves(DaemonId daemon, Instant now) {
        if (daemon.equals(self)) {
            return source.status() == DaemonStatus.SERVING;
        }
        PeerState state = state(daemon);
        return state != null && state.status() == DaemonStatus.SERVING && isLive(state, now);
    }

    private boolean isLive(PeerState state, Instant now) {
        return !state.heardAt().isBefore(now.minus(settings.liveWithin()));
    }

    /**
     * Returns the requests a second that live daemons are asked for, by organisation, this daemon
     * included. In a large fleet small figures of other daemons may be missing or old.
     */
    public Map<OrganisationId, Integer> demand() {
        Map<OrganisationId, Integer> total = new TreeMap<>(source.demand());
        Instant now = clock.instant();
        Instant notBefore = now.minus(demandLifetime());
        for (PeerState peer : peers.values()) {
            if (isLive(peer, now)) {
                peer.forEachDemand(
                        notBefore,
                        (organisation, value) -> total.merge(organisation, value, Integer::sum));
            }
        }
        return total;
    }

    private Duration demandLifetime() {
        int count = peerAddresses().size();
        Duration round =
                settings.period()
                        .multipliedBy(count)
                        .dividedBy(settings.heartbeatsEachPeriod(count));
        Duration lifetime = round.multipliedBy(ROUNDS_OF_DEMAND);
        return lifetime.compareTo(MINIMUM_DEMAND_LIFETIME) > 0 ? lifetime : MINIMUM_DEMAND_LIFETIME;
    }

    /**
     * Returns the outstanding work that other live daemons reported lately, by target. In a large
     * fleet this is a sample; the engines' own reports are the better source there.
     */
    public Map<TargetId, Outstanding> peerOutstanding() {
        Map<TargetId, Outstanding> total = new HashMap<>();
        Instant now = clock.instant();
        Instant notBefore = now.minus(OUTSTANDING_LIFETIME);
        for (PeerState peer : peers.values()) {
            if (isLive(peer, now)) {
                peer.forEachOutstanding(
                        notBefore,
                        (target, value) -> total.merge(target, value, PeerMembership::sum));
            }
        }
        return total;
    }

    private static Outstanding sum(Outstanding one, Outstanding other) {
        return new Outstanding(
                one.promptTokens() + other.promptTokens(), one.streams() + other.streams());
    }

    private void removeExpiredUnlistedPeers() {
        Instant limit = clock.instant().minus(UNLISTED_PEER_RETENTION);
        peers.values()
                .removeIf(
                        peer -> !roster.contains(peer.daemon()) && peer.heardAt().isBefore(limit));
    }

    private void reportChanges() {
        Instant now = clock.instant();
        boolean sampled = roster.order().size() - 1 > settings.allPeersUpTo();
        Duration limit = sampled ? SAMPLED_DOWN_AFTER : settings.liveWithin();
        for (DaemonId daemon : roster.order()) {
            PeerState state = state(daemon);
            boolean heard = state != null && !state.heardAt().isBefore(now.minus(limit));
            if (heard && reportedLive.add(daemon)) {
                timeline.record(EventKind.PEER_UP, daemon.toString(), "");
            } else if (!heard && reportedLive.remove(daemon)) {
                timeline.record(EventKind.PEER_DOWN, daemon.toString(), "not heard in time");
            }
        }
        reportedLive.removeIf(daemon -> !roster.contains(daemon));
    }
}
