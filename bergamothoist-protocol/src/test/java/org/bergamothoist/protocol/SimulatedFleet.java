package org.bergamothoist.protocol;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;
import org.bergamothoist.core.membership.HeartbeatSource;
import org.bergamothoist.core.membership.MembershipSettings;
import org.bergamothoist.core.membership.PeerMembership;
import org.bergamothoist.core.peer.PeerMessage;
import org.bergamothoist.core.peer.PeerMessage.DaemonStatus;
import org.bergamothoist.core.peer.PeerMessage.Heartbeat;
import org.bergamothoist.core.peer.PeerMessage.Outstanding;
import org.bergamothoist.core.peer.PeerNetwork;
import org.bergamothoist.core.platform.VirtualMachine;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.core.timeline.BoundedTimeline;

/** Memberships of many daemons on one thread and a virtual clock, over the real encoding. */
final class SimulatedFleet {

    static final Instant START = Instant.parse("2026-03-05T08:00:00Z");
    private static final Duration LATENCY = Duration.ofMillis(1);

    final List<Member> members;
    final List<RosterMember> roster;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparing(Task::at).thenComparingLong(Task::number));
    private final PeerMessageCodec codec = new PeerMessageCodec();
    private final Random random;
    private final MembershipSettings settings;
    private Instant now = START;
    private long taskNumber;
    long heartbeats;
    long bytes;
    int largestHeartbeat;

    private record Task(Instant at, long number, Runnable action) {}

    SimulatedFleet(int daemons, long seed, MembershipSettings settings) {
        random = new Random(seed);
        this.settings = settings;
        roster = IntStream.range(0, daemons).mapToObj(SimulatedFleet::rosterMember).toList();
        members = new ArrayList<>(roster.stream().map(Member::new).toList());
    }

    private static RosterMember rosterMember(int number) {
        return new RosterMember(
                new DaemonId("entry-" + number, 1),
                "vm-" + number,
                address(number),
                "10.1.0." + number + ":8080",
                "dc-" + number % 7,
                number + 1L,
                1);
    }

    private static String address(int number) {
        return "10.0.0.1:" + (number + 1);
    }

    void start() {
        members.forEach(member -> member.membership.start());
    }

    void resetCounts() {
        heartbeats = 0;
        bytes = 0;
        largestHeartbeat = 0;
    }

    void run(Duration time) {
        Instant end = now.plus(time);
        while (!tasks.isEmpty() && !tasks.peek().at.isAfter(end)) {
            Task task = tasks.remove();
            now = task.at;
            task.action.run();
        }
        now = end;
    }

    private Scheduler.Cancellable schedule(Duration delay, Runnable action) {
        Task task = new Task(now.plus(delay), taskNumber++, action);
        tasks.add(task);
        return () -> tasks.remove(task);
    }

    /** One daemon, and what its heartbeats say. */
    final class Member implements HeartbeatSource, PeerNetwork {

        final RosterMember self;
        final Map<OrganisationId, Integer> demand = new TreeMap<>();
        final Map<TargetId, Outstanding> outstanding = new HashMap<>();
        final Set<String> unreachable = new HashSet<>();
        final List<TargetId> leaving = new ArrayList<>();
        final Set<TargetId> heardLeaving = new HashSet<>();
        final PeerMembership membership;
        DaemonStatus status = DaemonStatus.SERVING;
        long appliedOffset = 1_000_000;
        Duration confirmedAge = Duration.ofMillis(100);
        List<RosterMember> known = roster;
        Duration skew = Duration.ZERO;
        boolean dead;

        Member(RosterMember self) {
            this.self = self;
            Scheduler scheduler =
                    new Scheduler() {
                        @Override
                        public Cancellable schedule(Duration delay, Runnable task) {
                            return SimulatedFleet.this.schedule(delay, task);
                        }

                        @Override
                        public void execute(Runnable task) {
                            schedule(Duration.ZERO, task);
                        }
                    };
            membership =
                    new PeerMembership(
                            self.daemon(),
                            self.peerAddress(),
                            this,
                            scheduler,
                            this::clock,
                            new SplittableRandom(random.nextLong()),
                            new BoundedTimeline(self.daemon(), () -> now, 100),
                            this,
                            settings,
                            heardLeaving::addAll);
        }

        @Override
        public void send(String address, PeerMessage message) {
            byte[] encoded = codec.encode(message);
            heartbeats++;
            bytes += encoded.length + MembershipSettings.FRAME_BYTES;
            largestHeartbeat = Math.max(largestHeartbeat, encoded.length);
            int number = Integer.parseInt(address.substring(address.indexOf(':') + 1)) - 1;
            Member receiver = members.get(number);
            if (dead || receiver.dead || unreachable.contains(address)) {
                return;
            }
            schedule(LATENCY, () -> receiver.deliver(self.daemon(), codec.decode(encoded)));
        }

        Instant clock() {
            return now.plus(skew);
        }

        private void deliver(DaemonId sender, PeerMessage message) {
            Heartbeat heartbeat = (Heartbeat) message.delayedBy(LATENCY);
            membership.onHeartbeat(sender, heartbeat, clock());
        }

        /** Stops without a word. */
        void crash() {
            dead = true;
            membership.stop();
        }

        @Override
        public void setReceiver(PeerReceiver receiver) {}

        @Override
        public List<RosterMember> roster() {
            return known;
        }

        @Override
        public List<VirtualMachine> virtualMachines() {
            return roster.stream()
                    .map(
                            member ->
                                    new VirtualMachine(
                                            member.virtualMachine(),
                                            VirtualMachine.Role.ENTRY,
                                            "entry",
                                            "10.0.0.1",
                                            (int) member.joinOffset(),
                                            member.dataCentre(),
                                            VirtualMachine.State.LIVE))
                    .toList();
        }

        @Override
        public DaemonStatus status() {
            return status;
        }

        @Override
        public long appliedOffset() {
            return appliedOffset;
        }

        @Override
        public Duration confirmedAge() {
            return confirmedAge;
        }

        @Override
        public Map<OrganisationId, Integer> demand() {
            return demand;
        }

        @Override
        public List<TargetId> leavingTargets() {
            return leaving;
        }

        @Override
        public Map<TargetId, Outstanding> outstanding() {
            return outstanding;
        }
    }
}
