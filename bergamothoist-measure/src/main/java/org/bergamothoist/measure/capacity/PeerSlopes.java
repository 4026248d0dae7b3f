package org.bergamothoist.measure.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;
import org.bergamothoist.core.membership.HeartbeatSource;
import org.bergamothoist.core.membership.MembershipSettings;
import org.bergamothoist.core.membership.PeerMembership;
import org.bergamothoist.core.peer.PeerMessage;
import org.bergamothoist.core.peer.PeerMessage.DaemonStatus;
import org.bergamothoist.core.peer.PeerMessage.Outstanding;
import org.bergamothoist.core.peer.PeerNetwork;
import org.bergamothoist.core.platform.VirtualMachine;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.bergamothoist.core.timeline.BoundedTimeline;
import org.bergamothoist.protocol.PeerMessageCodec;

/** Measures heartbeats: bytes a second sent by a daemon, and processor time for each. */
final class PeerSlopes {

    private static final int SECONDS = 30;
    private static final int ORGANISATIONS_IN_USE = 300;

    private final Meter meter;

    PeerSlopes(Meter meter) {
        this.meter = meter;
    }

    void measure() {
        measure(6, 8);
        measure(420, ORGANISATIONS_IN_USE);
    }

    private void measure(int daemons, int organisations) {
        VirtualTimeScheduler time = new VirtualTimeScheduler(Records.START);
        List<RosterMember> roster = roster(daemons);
        List<PeerMessage.Heartbeat> sent = new ArrayList<>();
        PeerMembership sender =
                membership(0, new RecordingNetwork(sent), time, new Source(roster, organisations));
        sender.start();
        time.advance(Duration.ofSeconds(SECONDS));
        PeerMessageCodec codec = new PeerMessageCodec();
        long bytes =
                sent.stream()
                        .mapToLong(
                                heartbeat ->
                                        codec.encode(heartbeat).length
                                                + MembershipSettings.FRAME_BYTES)
                        .sum();
        String size = daemons + " daemons, " + organisations + " organisations in use";
        meter.add("heartbeats sent by a daemon", size, sent.size() / (double) SECONDS, "a second");
        meter.add(
                "heartbeat bytes sent by a daemon",
                size,
                bytes / (double) SECONDS,
                "bytes a second");
        PeerMembership receiver =
                membership(1, new RecordingNetwork(new ArrayList<>()), time, new Source(roster, 8));
        byte[] encoded = codec.encode(sent.get(sent.size() - 1));
        meter.time("decoding of a heartbeat", size, 2_000, index -> codec.decode(encoded));
        long[] sequence = {0};
        meter.time(
                "handling of a heartbeat",
                size,
                2_000,
                index ->
                        receiver.onHeartbeat(
                                Records.daemon(0, 1),
                                renumbered(sent.get(index % sent.size()), ++sequence[0]),
                                time.instant()));
        int before = sent.size();
        meter.time("composing of a heartbeat", size, 200, index -> sender.announce());
        meter.add(
                "heartbeats composed by one announcement",
                size,
                (sent.size() - before) / 800.0,
                "heartbeats");
        meter.time("peer views for a decision", size, 2_000, index -> receiver.peers());
    }

    private static PeerMessage.Heartbeat renumbered(
            PeerMessage.Heartbeat heartbeat, long sequence) {
        return new PeerMessage.Heartbeat(
                heartbeat.status(),
                sequence,
                heartbeat.age(),
                heartbeat.appliedOffset(),
                heartbeat.confirmedAge(),
                heartbeat.demand(),
                heartbeat.leavingTargets(),
                heartbeat.outstanding(),
                heartbeat.complete(),
                heartbeat.others());
    }

    private static List<RosterMember> roster(int daemons) {
        List<RosterMember> roster = new ArrayList<>();
        for (int daemon = 0; daemon < daemons; daemon++) {
            String host = "10.0." + daemon / 250 + "." + daemon % 250;
            roster.add(
                    new RosterMember(
                            Records.daemon(daemon, 1),
                            "entry-" + daemon,
                            host + ":7000",
                            host + ":8080",
                            "centre-" + daemon % 7,
                            1,
                            daemons));
        }
        return roster;
    }

    private static PeerMembership membership(
            int daemon, PeerNetwork network, VirtualTimeScheduler time, HeartbeatSource source) {
        DaemonId self = Records.daemon(daemon, 1);
        return new PeerMembership(
                self,
                source.roster().get(daemon).peerAddress(),
                network,
                time,
                time,
                new Random(daemon),
                new BoundedTimeline(self, time),
                source,
                MembershipSettings.defaults(),
                targets -> {});
    }

    /** Keeps the heartbeats that are sent. */
    private record RecordingNetwork(List<PeerMessage.Heartbeat> sent) implements PeerNetwork {

        @Override
        public void send(String address, PeerMessage message) {
            sent.add((PeerMessage.Heartbeat) message);
        }

        @Override
        public void setReceiver(PeerReceiver receiver) {}
    }

    /** A daemon that serves many organisations and targets. */
    private static final class Source implements HeartbeatSource {

        private final List<RosterMember> roster;
        private final Map<OrganisationId, Integer> demand = new HashMap<>();
        private final Map<TargetId, Outstanding> outstanding = new HashMap<>();

        Source(List<RosterMember> roster, int organisations) {
            this.roster = roster;
            for (int organisation = 0; organisation < organisations; organisation++) {
                demand.put(
                        new OrganisationId("organisation-" + organisation), organisation % 9 + 1);
            }
            for (int target = 0; target < 64; target++) {
                outstanding.put(new TargetId("engine-" + target), new Outstanding(20_000, 14));
            }
        }

        @Override
        public List<RosterMember> roster() {
            return roster;
        }

        @Override
        public List<VirtualMachine> virtualMachines() {
            return List.of();
        }

        @Override
        public DaemonStatus status() {
            return DaemonStatus.SERVING;
        }

        @Override
        public long appliedOffset() {
            return 1_000_000;
        }

        @Override
        public Duration confirmedAge() {
            return Duration.ofMillis(200);
        }

        @Override
        public Map<OrganisationId, Integer> demand() {
            return demand;
        }

        @Override
        public List<TargetId> leavingTargets() {
            return List.of();
        }

        @Override
        public Map<TargetId, Outstanding> outstanding() {
            return outstanding;
        }
    }
}
