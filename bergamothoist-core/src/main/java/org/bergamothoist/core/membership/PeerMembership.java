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
 * Gossip membership: sends heartbeats to peers and tracks which daemons are live. Confined to the
 * control thread. The clock must be monotonic, since ages are differences of its times.
 */
public final class PeerMembership {

    /** Maximum number of tracked daemons outside the roster, which are about to join or to stop. */
    private static final int MAXIMUM_NON_MEMBERS = 1_024;

    /** Time after its last message for which a daemon outside the roster is tracked. */
    private static final Duration NON_MEMBER_RETENTION = Duration.ofMinutes(5);

    /** Maximum age of a peer's outstanding work that is counted. */
    private static final Duration OUTSTANDING_LIFETIME = Duration.ofSeconds(5);

    /** Maximum age of a peer's demand that is counted in a small fleet. */
    private static final Duration MINIMUM_DEMAND_LIFETIME = Duration.ofSeconds(5);

    /**
     * Silence after which a daemon of a large fleet is recorded on the timeline as down. There,
     * information takes up to a few seconds to spread, and an event for each delay would displace
     * all other events.
     */
    private static final Duration LARGE_FLEET_DOWN_TIMEOUT = Duration.ofSeconds(10);

    /** Every so many slots, a heartbeat is sent even if the scheduled peer is down. */
    private static final int DOWN_PEER_RETRY_SLOTS = 8;

    /**
     * Demand is counted for two rounds: each peer is sent to once in a round, so that two
     * heartbeats can be almost two rounds apart.
     */
    private static final int DEMAND_LIFETIME_ROUNDS = 2;

    private final DaemonId self;
    private final String selfAddress;
    private final PeerNetwork network;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final Timeline timeline;
    private final HeartbeatSource source;
    private final MembershipSettings settings;
    private final Consumer<List<TargetId>> leavingTargetsListener;
    private final HeartbeatBuilder heartbeatBuilder;
    private final PeerSchedule schedule;
    private final RosterIndex roster = new RosterIndex();
    private final Map<String, PeerState> peers = new HashMap<>();
    private final Set<DaemonId> recordedLive = new HashSet<>();
    private Instant confirmedAt = Instant.MIN;
    private Scheduler.Cancellable nextTick = () -> {};
    private boolean running;

    /**
     * Creates the membership of one daemon, which is inactive until {@link #start}.
     *
     * @param selfAddress peer address of this daemon, {@code host:port}
     * @param leavingTargetsListener receives the targets that other daemons announce as leaving
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
        this.heartbeatBuilder = new HeartbeatBuilder(source);
        this.schedule = new PeerSchedule(selfAddress, random.nextDouble());
    }

    /** Starts sending heartbeats. */
    public void start() {
        running = true;
        scheduleTick(slotLength(peerAddresses()));
    }

    /** Stops sending heartbeats. */
    public void stop() {
        running = false;
        nextTick.cancel();
    }

    /**
     * Sends a heartbeat at once, for example when this daemon's status has changed: to all peers in
     * a small fleet, to a few in a large one.
     */
    public void announce() {
        Set<String> addresses = peerAddresses();
        if (addresses.size() <= settings.fullMeshMaximumPeers()) {
            // The schedule is reshuffled between rounds, so as many slots as there are peers can
            // select one peer twice and miss another.
            addresses.forEach(address -> send(address, addresses.size()));
            return;
        }
        long slot = schedule.slot(clock.instant(), slotLength(addresses));
        int count = settings.fullMeshMaximumPeers();
        for (int sent = 0; sent < count; sent++) {
            send(schedule.peerFor(addresses, slot + sent, address -> true), addresses.size());
        }
    }

    /**
     * Sends a heartbeat to all peers at once because this daemon's outstanding work has grown
     * considerably. Does nothing in a large fleet, where heartbeat traffic is bounded.
     */
    public void announceLoad() {
        if (peerAddresses().size() <= settings.fullMeshMaximumPeers()) {
            announce();
        }
    }

    /**
     * Processes a received heartbeat.
     *
     * @param receivedAt time at which the network delivered it, taken before it was queued for the
     *     control thread, so that the queueing time counts towards its age
     */
    public void onHeartbeat(DaemonId sender, Heartbeat heartbeat, Instant receivedAt) {
        roster.update(source.roster());
        PeerState peer = sender.name().equals(self.name()) ? null : findOrCreateState(sender);
        if (peer == null || !peer.applyHeartbeat(heartbeat, receivedAt)) {
            return;
        }
        RosterDigest digest = heartbeat.others();
        advanceConfirmedAt(receivedAt.minus(heartbeat.confirmedAge()));
        advanceConfirmedAt(receivedAt.minus(digest.confirmedAge()));
        applyDigest(digest, receivedAt);
        if (!heartbeat.leavingTargets().isEmpty()) {
            leavingTargetsListener.accept(heartbeat.leavingTargets());
        }
        recordLivenessChanges();
    }

    private void applyDigest(RosterDigest digest, Instant receivedAt) {
        List<DaemonId> daemons = roster.daemons(digest.rosterKey());
        for (RosterDigest.Member member : digest.members()) {
            if (member.position() >= daemons.size()) {
                return;
            }
            DaemonId daemon = daemons.get(member.position());
            PeerState state = daemon.name().equals(self.name()) ? null : findOrCreateState(daemon);
            if (state != null) {
                state.applyDigest(member, receivedAt);
            }
        }
    }

    /**
     * Returns the state of the daemon, which is created if necessary. Returns null if a newer
     * incarnation is known or the limit of daemons outside the roster is reached.
     */
    private PeerState findOrCreateState(DaemonId daemon) {
        PeerState known = peers.get(daemon.name());
        if (known != null && known.daemon().incarnation() >= daemon.incarnation()) {
            return known.daemon().equals(daemon) ? known : null;
        }
        boolean full = peers.size() >= roster.daemons().size() + MAXIMUM_NON_MEMBERS;
        if (known == null && full && !roster.contains(daemon)) {
            return null;
        }
        PeerState created = new PeerState(daemon);
        peers.put(daemon.name(), created);
        return created;
    }

    private void advanceConfirmedAt(Instant at) {
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
        removeExpiredNonMembers();
        recordLivenessChanges();
        long slot = schedule.slot(clock.instant(), slotLength);
        String address = schedule.peerFor(addresses, slot, eligiblePeers(addresses.size(), slot));
        if (address != null) {
            send(address, addresses.size());
        }
    }

    /**
     * Returns which peers may receive a heartbeat: all of them, except in a large fleet, where
     * peers that are down are only tried in some slots. These tries let the two sides of a healed
     * partition find each other.
     */
    private Predicate<String> eligiblePeers(int peerCount, long slot) {
        boolean anyPeer =
                peerCount <= settings.fullMeshMaximumPeers() || slot % DOWN_PEER_RETRY_SLOTS == 0;
        if (anyPeer) {
            return address -> true;
        }
        Instant now = clock.instant();
        Set<String> down = new HashSet<>();
        for (RosterMember member : roster.current()) {
            PeerState state = findState(member.daemon());
            if (state == null || !isLive(state, now)) {
                down.add(member.peerAddress());
            }
        }
        return address -> !down.contains(address);
    }

    private Duration slotLength(Set<String> addresses) {
        return settings.period().dividedBy(settings.heartbeatsPerPeriod(addresses.size()));
    }

    /**
     * Replies to the heartbeat of a daemon that is not in the roster, at most once in a period.
     * While the log is unavailable, a daemon on a new VM cannot join the roster, so that the others
     * would never send to it.
     */
    public void replyToNonMember(DaemonId daemon, String address) {
        roster.update(source.roster());
        PeerState sender = findState(daemon);
        if (!running || roster.contains(daemon) || sender == null) {
            return;
        }
        // Without this limit, two daemons that are missing from each other's rosters would reply to
        // each other's replies endlessly.
        if (sender.tryReply(clock.instant(), settings.period())) {
            send(address, peerAddresses().size());
        }
    }

    private void send(String address, int peerCount) {
        network.composeAndSend(address, () -> buildHeartbeat(peerCount));
    }

    private Heartbeat buildHeartbeat(int peerCount) {
        roster.update(source.roster());
        Instant now = clock.instant();
        advanceConfirmedAt(now.minus(HeartbeatBuilder.capped(source.confirmedAge())));
        return heartbeatBuilder.build(
                roster, this::findState, confirmedAt, now, settings.heartbeatBytes(peerCount));
    }

    private PeerState findState(DaemonId daemon) {
        PeerState state = peers.get(daemon.name());
        return state != null && state.daemon().equals(daemon) ? state : null;
    }

    /**
     * Returns the peer addresses of the roster's other members, or of the platform's list of VMs
     * while the roster is empty.
     */
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

    /** Returns what is known of the roster's other daemons, in the roster's order. */
    public List<PeerSnapshot> peers() {
        roster.update(source.roster());
        Instant now = clock.instant();
        List<PeerSnapshot> snapshots = new ArrayList<>();
        for (DaemonId daemon : roster.daemons()) {
            if (!daemon.name().equals(self.name())) {
                snapshots.add(snapshot(daemon, now));
            }
        }
        return snapshots;
    }

    private PeerSnapshot snapshot(DaemonId daemon, Instant now) {
        PeerState state = findState(daemon);
        if (state == null) {
            return new PeerSnapshot(
                    daemon,
                    DaemonStatus.STARTING,
                    0,
                    RosterDigest.INFINITE_AGE,
                    RosterDigest.INFINITE_AGE,
                    false,
                    false);
        }
        return new PeerSnapshot(
                daemon,
                state.status(),
                state.appliedOffset(),
                PeerState.age(state.confirmedAt(confirmedAt), now),
                PeerState.age(state.lastSeenAt(), now),
                isLive(state, now),
                state.isFirstHand());
    }

    /** Returns the live daemons of the roster, this one included. */
    public Set<DaemonId> liveDaemons() {
        Set<DaemonId> live = new HashSet<>();
        for (PeerSnapshot peer : peers()) {
            if (peer.live()) {
                live.add(peer.daemon());
            }
        }
        if (roster.contains(self)) {
            live.add(self);
        }
        return live;
    }

    /** Returns the members of the roster that are live and serving, possibly including this one. */
    public List<RosterMember> servingMembers() {
        roster.update(source.roster());
        Instant now = clock.instant();
        return roster.current().stream().filter(member -> serves(member.daemon(), now)).toList();
    }

    private boolean serves(DaemonId daemon, Instant now) {
        if (daemon.equals(self)) {
            return source.status() == DaemonStatus.SERVING;
        }
        PeerState state = findState(daemon);
        return state != null && state.status() == DaemonStatus.SERVING && isLive(state, now);
    }

    private boolean isLive(PeerState state, Instant now) {
        return !state.lastSeenAt().isBefore(now.minus(settings.livenessTimeout()));
    }

    /**
     * Returns the demand at this and all other live daemons in requests per second, by
     * organisation. In a large fleet, small values of other daemons may be missing or old.
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
                        .dividedBy(settings.heartbeatsPerPeriod(count));
        Duration lifetime = round.multipliedBy(DEMAND_LIFETIME_ROUNDS);
        return lifetime.compareTo(MINIMUM_DEMAND_LIFETIME) > 0 ? lifetime : MINIMUM_DEMAND_LIFETIME;
    }

    /**
     * Returns the outstanding work that other live daemons reported recently, by target. In a large
     * fleet this is a sample, and the engines' own reports are more accurate.
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

    private static Outstanding sum(Outstanding first, Outstanding second) {
        return new Outstanding(
                first.promptTokens() + second.promptTokens(), first.streams() + second.streams());
    }

    private void removeExpiredNonMembers() {
        Instant limit = clock.instant().minus(NON_MEMBER_RETENTION);
        peers.values()
                .removeIf(
                        peer ->
                                !roster.contains(peer.daemon())
                                        && peer.lastSeenAt().isBefore(limit));
    }

    private void recordLivenessChanges() {
        Instant now = clock.instant();
        boolean largeFleet = roster.daemons().size() - 1 > settings.fullMeshMaximumPeers();
        Duration limit = largeFleet ? LARGE_FLEET_DOWN_TIMEOUT : settings.livenessTimeout();
        for (DaemonId daemon : roster.daemons()) {
            PeerState state = findState(daemon);
            boolean seen = state != null && !state.lastSeenAt().isBefore(now.minus(limit));
            if (seen && recordedLive.add(daemon)) {
                timeline.record(EventKind.PEER_UP, daemon.toString(), "");
            } else if (!seen && recordedLive.remove(daemon)) {
                timeline.record(
                        EventKind.PEER_DOWN,
                        daemon.toString(),
                        "not seen within " + limit.toMillis() + " ms");
            }
        }
        recordedLive.removeIf(daemon -> !roster.contains(daemon));
    }
}
