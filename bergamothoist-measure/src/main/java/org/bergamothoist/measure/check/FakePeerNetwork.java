package org.bergamothoist.measure.check;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.peer.PeerMessage;
import org.bergamothoist.core.peer.PeerNetwork;
import org.bergamothoist.core.time.VirtualTimeScheduler;

/** The network between daemons: loses, delays, duplicates and partitions. */
final class FakePeerNetwork {

    private static final Duration LATENCY = Duration.ofMillis(1);
    private static final double LOSS = 0.4;
    private static final double DUPLICATION = 0.4;
    private static final int MAXIMUM_DELAY_MILLISECONDS = 2_500;

    private final VirtualTimeScheduler time;
    private final RandomGenerator random;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final Map<String, Instant> lastArrivals = new HashMap<>();

    int losing;
    int delaying;
    int duplicating;

    /** Side of each daemon during a partition; daemons that are absent are on side 0. */
    final Map<String, Integer> sides = new HashMap<>();

    private Instant disturbedAt = Instant.MIN;

    FakePeerNetwork(VirtualTimeScheduler time, RandomGenerator random) {
        this.time = time;
        this.random = random;
    }

    boolean disturbed() {
        return losing > 0 || delaying > 0 || !sides.isEmpty();
    }

    void noteDisturbance() {
        disturbedAt = time.instant();
    }

    Instant disturbedAt() {
        return disturbedAt;
    }

    PeerNetwork connect(DaemonId daemon, String address, SimulatedProcess process) {
        Endpoint endpoint = new Endpoint(daemon, address, process);
        endpoints.put(address, endpoint);
        return endpoint;
    }

    private final class Endpoint implements PeerNetwork {

        private final DaemonId daemon;
        private final String address;
        private final SimulatedProcess process;
        private PeerReceiver receiver = (sender, senderAddress, message) -> {};

        Endpoint(DaemonId daemon, String address, SimulatedProcess process) {
            this.daemon = daemon;
            this.address = address;
            this.process = process;
        }

        @Override
        public void setReceiver(PeerReceiver newReceiver) {
            receiver = newReceiver;
        }

        @Override
        public void send(String to, PeerMessage message) {
            int copies = duplicating > 0 && random.nextDouble() < DUPLICATION ? 2 : 1;
            for (int copy = 0; copy < copies; copy++) {
                if (losing == 0 || random.nextDouble() >= LOSS) {
                    transmit(to, message);
                }
            }
        }

        private void transmit(String to, PeerMessage message) {
            Instant sentAt = time.instant();
            Duration delay = LATENCY;
            if (delaying > 0) {
                delay = delay.plusMillis(random.nextInt(MAXIMUM_DELAY_MILLISECONDS));
            }
            Instant due = sentAt.plus(delay);
            if (!(message instanceof PeerMessage.Heartbeat)) {
                due = inOrder(to, due);
            }
            time.schedule(Duration.between(sentAt, due), () -> arrive(to, message, sentAt));
        }

        /** Messages other than heartbeats keep their order. */
        private Instant inOrder(String to, Instant due) {
            String link = daemon + ">" + to;
            Instant last = lastArrivals.getOrDefault(link, due);
            Instant ordered = last.isAfter(due) ? last : due;
            lastArrivals.put(link, ordered);
            return ordered;
        }

        private void arrive(String to, PeerMessage message, Instant sentAt) {
            Endpoint target = endpoints.get(to);
            if (target == null || separated(target)) {
                return;
            }
            // The time spent in the buffers of a paused receiver counts as well.
            target.process.execute(
                    () ->
                            target.receiver.onMessage(
                                    daemon,
                                    address,
                                    message.delayedBy(
                                            Duration.between(sentAt, time.instant())
                                                    .plus(LATENCY))));
        }

        private boolean separated(Endpoint other) {
            int own = sides.getOrDefault(daemon.name(), 0);
            return own != sides.getOrDefault(other.daemon.name(), 0);
        }
    }
}
