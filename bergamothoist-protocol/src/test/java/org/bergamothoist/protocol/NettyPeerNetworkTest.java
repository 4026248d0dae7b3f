package org.bergamothoist.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import com.codahale.metrics.MetricRegistry;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.SharedStateSnapshot;
import org.bergamothoist.core.log.SharedStateSnapshot.LeaseState;
import org.bergamothoist.core.peer.PeerMessage;
import org.bergamothoist.core.timeline.BoundedTimeline;
import org.bergamothoist.core.timeline.Timestamp;
import org.bergamothoist.protocol.generated.PeerMessages;
import org.bergamothoist.protocol.generated.StateMessages;
import org.bergamothoist.protocol.internal.transport.Frame;
import org.bergamothoist.protocol.internal.transport.FrameAuthenticator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class NettyPeerNetworkTest {

    private static final String LOOPBACK = "127.0.0.1";
    private static final byte[] KEY = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);
    private static final PeerMessage MESSAGE = new PeerMessage.LossNoticeAck(7);

    private final List<NettyPeerNetwork> networks = new ArrayList<>();
    private final Queue<PeerMessage> received = new ConcurrentLinkedQueue<>();
    private final MetricRegistry metrics = new MetricRegistry();
    private final NettyPeerNetwork receiver = network("receiver", 0, KEY, metrics);

    NettyPeerNetworkTest() {
        receiver.setReceiver((sender, address, message) -> received.add(message));
    }

    @AfterEach
    void closeNetworks() {
        networks.forEach(NettyPeerNetwork::close);
    }

    /** Guards against lost identity: answers go to the sender's address. */
    @Test
    void messageArrivesWithIdentityAndAddressAndBytesAreMetered() {
        NettyPeerNetwork sender = network("sender", 0, KEY, new MetricRegistry());
        Queue<String> senders = new ConcurrentLinkedQueue<>();
        receiver.setReceiver((daemon, address, message) -> senders.add(daemon + "@" + address));
        sender.send(receiver.address(), MESSAGE);
        await().until(() -> !senders.isEmpty());
        assertThat(senders).containsExactly("sender#1@" + sender.address());
        assertThat(metrics.meter("peer.bytes.received").getCount()).isPositive();
    }

    /** Guards against a snapshot that is longer than a frame, and wrong order of its parts. */
    @Test
    void longSnapshotIsSplitAndReassembledWhileOtherMessagesPass() {
        NettyPeerNetwork sender = network("sender", 0, KEY, new MetricRegistry());
        PeerMessage snapshot = snapshotOfAbout(5 << 20);
        sender.send(receiver.address(), snapshot);
        sender.send(receiver.address(), MESSAGE);
        await().atMost(Duration.ofSeconds(30)).until(() -> received.size() == 2);
        PeerMessage.SnapshotAnswer answer = (PeerMessage.SnapshotAnswer) received.remove();
        assertThat(answer.state()).isEqualTo(((PeerMessage.SnapshotAnswer) snapshot).state());
        assertThat(received).containsExactly(MESSAGE);
    }

    /** Guards against a peer address that stays unusable after its daemon was restarted. */
    @Test
    void senderReconnectsAfterTheReceiverRestarts() {
        NettyPeerNetwork sender = network("sender", 0, KEY, new MetricRegistry());
        sender.send(receiver.address(), MESSAGE);
        await().until(() -> !received.isEmpty());
        int port = receiver.boundPort();
        receiver.close();
        Queue<PeerMessage> afterRestart = new ConcurrentLinkedQueue<>();
        NettyPeerNetwork restarted = network("receiver", port, KEY, new MetricRegistry());
        restarted.setReceiver((daemon, address, message) -> afterRestart.add(message));
        await().atMost(Duration.ofSeconds(30))
                .until(
                        () -> {
                            sender.send(restarted.address(), MESSAGE);
                            return !afterRestart.isEmpty();
                        });
    }

    /** Guards against daemons of another deployment, and forgers without the key. */
    @Test
    void messageUnderAnotherKeyIsRejected() {
        byte[] otherKey = "fedcba9876543210".getBytes(StandardCharsets.US_ASCII);
        NettyPeerNetwork forger = network("forger", 0, otherKey, new MetricRegistry());
        forger.send(receiver.address(), MESSAGE);
        awaitRejection("forged");
        assertThat(received).isEmpty();
    }

    private enum Attack {
        REPLAYED_FRAME("forged"),
        REORDERED_FRAMES("forged"),
        FRAMES_OF_ANOTHER_CONNECTION("forged"),
        FRAMES_FOR_ANOTHER_RECEIVER("forged"),
        CHANGED_BYTE("forged"),
        OVERSIZED_FRAME("oversized"),
        OVERSIZED_HELLO("oversized"),
        NEGATIVE_LENGTH("oversized"),
        TRUNCATED_FRAME("truncated"),
        SHORT_FRAME("malformed"),
        MESSAGE_BEFORE_HELLO("malformed");

        private final String rejection;

        Attack(String rejection) {
            this.rejection = rejection;
        }
    }

    /** Guards against each way of sending frames that the sender did not mean for now and here. */
    @ParameterizedTest
    @EnumSource(Attack.class)
    void badFrameIsCountedAndTheConnectionClosed(Attack attack) throws IOException {
        try (RawPeer peer = new RawPeer(receiver.address())) {
            perform(attack, peer);
            if (attack == Attack.TRUNCATED_FRAME) {
                peer.close();
            } else {
                assertThat(peer.isClosedByReceiver()).isTrue();
            }
            awaitRejection(attack.rejection);
        }
        assertThat(received).hasSizeLessThanOrEqualTo(1);
    }

    private void perform(Attack attack, RawPeer peer) throws IOException {
        byte[] hello = peer.hello();
        byte[] first = peer.message();
        byte[] second = peer.message();
        switch (attack) {
            case REPLAYED_FRAME -> peer.send(hello, first, first);
            case REORDERED_FRAMES -> peer.send(hello, second, first);
            case FRAMES_OF_ANOTHER_CONNECTION -> {
                try (RawPeer other = new RawPeer(receiver.address())) {
                    peer.send(other.hello(), other.message());
                }
            }
            case FRAMES_FOR_ANOTHER_RECEIVER -> {
                peer.meantFor("127.0.0.2:9");
                peer.send(peer.hello(), peer.message());
            }
            case CHANGED_BYTE -> {
                first[first.length - 1] ^= 1;
                peer.send(hello, first);
            }
            case OVERSIZED_FRAME -> {
                peer.send(hello, first);
                peer.output.writeInt((1 << 20) + 1);
            }
            case OVERSIZED_HELLO -> peer.output.writeInt(4097);
            case NEGATIVE_LENGTH -> peer.output.writeInt(-1);
            case TRUNCATED_FRAME -> {
                peer.send(hello);
                peer.output.writeInt(first.length);
                peer.output.write(first, 0, first.length - 1);
            }
            case SHORT_FRAME -> peer.send(new byte[3]);
            case MESSAGE_BEFORE_HELLO -> peer.send(first);
            default -> throw new AssertionError(attack);
        }
        peer.output.flush();
    }

    /** Guards against a slow peer that exhausts memory or blocks the sender. */
    @Test
    void peerThatDoesNotReadGetsABoundedQueue() throws IOException {
        MetricRegistry senderMetrics = new MetricRegistry();
        NettyPeerNetwork sender = network("sender", 0, KEY, senderMetrics);
        try (ServerSocket slow = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
            String address = LOOPBACK + ":" + slow.getLocalPort();
            PeerMessage large = snapshotOfAbout(1 << 20);
            for (int count = 0; count < 100; count++) {
                sender.send(address, large);
            }
            assertThat(senderMetrics.counter("peer.messages.dropped").getCount())
                    .isGreaterThanOrEqualTo(90);
            sender.send(receiver.address(), MESSAGE);
            await().until(() -> received.contains(MESSAGE));
        }
    }

    /** Guards against a heartbeat that was held up, for example by a pause, and looks current. */
    @Test
    void agesGrowByTheTimeUnderWay() throws IOException {
        PeerMessage.Heartbeat heartbeat = new Samples(1).heartbeat();
        try (RawPeer peer = new RawPeer(receiver.address())) {
            long composedLongBeforeHello = 0;
            peer.helloAt = 60_000;
            peer.send(peer.hello(), peer.message(heartbeat, composedLongBeforeHello));
            await().until(() -> !received.isEmpty());
        }
        PeerMessage.Heartbeat arrived = (PeerMessage.Heartbeat) received.remove();
        Duration held = Duration.ofMillis(60_000);
        assertThat(arrived.age()).isGreaterThanOrEqualTo(heartbeat.age().plus(held));
        assertThat(arrived.confirmedAge())
                .isGreaterThanOrEqualTo(heartbeat.confirmedAge().plus(held));
    }

    /** Guards against a rolling upgrade in which each new message closes the connection. */
    @Test
    void messageOfANewerKindIsSkipped() throws IOException {
        try (RawPeer peer = new RawPeer(receiver.address())) {
            byte[] newer = {(byte) (14 << 3 | 2), 0};
            peer.send(peer.hello(), peer.frame(Frame.Kind.MESSAGE, 1, newer), peer.message());
            await().until(() -> !received.isEmpty());
        }
        assertThat(received).containsExactly(MESSAGE);
        awaitRejection("unsupported");
    }

    /** Guards against name lookups, which block, and against a key that is easily guessed. */
    @Test
    void namesAndShortKeysAreRefused() {
        MetricRegistry senderMetrics = new MetricRegistry();
        NettyPeerNetwork sender = network("sender", 0, KEY, senderMetrics);
        for (String address : List.of("localhost:1", "127.0.0.1", "127.0.0.1:0", "x")) {
            sender.send(address, MESSAGE);
        }
        assertThat(senderMetrics.counter("peer.messages.dropped").getCount()).isEqualTo(4);
        assertThatThrownBy(() -> network("short", 0, new byte[8], new MetricRegistry()))
                .isInstanceOf(IllegalArgumentException.class);
    }

    private void awaitRejection(String reason) {
        await().until(() -> metrics.counter("peer.frames.rejected." + reason).getCount() > 0);
    }

    private NettyPeerNetwork network(String name, int port, byte[] key, MetricRegistry registry) {
        DaemonId daemon = new DaemonId(name, 1);
        NettyPeerNetwork network =
                new NettyPeerNetwork(
                        new PeerNetworkSettings(daemon, LOOPBACK, LOOPBACK, port, key),
                        new BoundedTimeline(daemon, InstantSource.system()),
                        registry);
        network.start();
        networks.add(network);
        return network;
    }

    private static PeerMessage snapshotOfAbout(int bytes) {
        DaemonId holder = new DaemonId("holder", 1);
        List<LeaseState> leases = new ArrayList<>();
        for (int count = 0; count < bytes / 1_000; count++) {
            leases.add(new LeaseState("r".repeat(1_000), holder, count, Instant.EPOCH));
        }
        SharedStateSnapshot state =
                new SharedStateSnapshot(
                        1,
                        Instant.EPOCH,
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        leases,
                        List.of());
        return new PeerMessage.SnapshotAnswer(state, Duration.ZERO, List.of());
    }

    /** A sender that holds the key and can send what a correct one would not. */
    private static final class RawPeer implements AutoCloseable {

        private static final DaemonId DAEMON = new DaemonId("raw", 1);
        private static final String ADDRESS = "127.0.0.1:9";

        private final Socket socket;
        private final DataOutputStream output;
        private final byte[] challenge;
        private FrameAuthenticator authenticator;
        private long helloAt;

        RawPeer(String address) throws IOException {
            int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
            socket = new Socket(LOOPBACK, port);
            output = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
            DataInputStream input = new DataInputStream(socket.getInputStream());
            challenge = input.readNBytes(input.readInt());
            meantFor(address);
        }

        /** Waits for the end; a reset is one, too, if the receiver left bytes unread. */
        boolean isClosedByReceiver() throws IOException {
            try {
                return socket.getInputStream().read() == -1;
            } catch (SocketException reset) {
                return true;
            }
        }

        void meantFor(String address) {
            authenticator = new FrameAuthenticator(KEY, challenge, DAEMON, ADDRESS, address);
        }

        byte[] hello() {
            byte[] hello =
                    PeerMessages.Hello.newBuilder()
                            .setVersion(1)
                            .setSender(
                                    StateMessages.Daemon.newBuilder()
                                            .setName(DAEMON.name())
                                            .setIncarnation(DAEMON.incarnation()))
                            .setSenderAddress(ADDRESS)
                            .build()
                            .toByteArray();
            return frame(Frame.Kind.HELLO, helloAt, hello);
        }

        byte[] message() {
            return message(MESSAGE, 0);
        }

        byte[] message(PeerMessage message, long composedAt) {
            return frame(Frame.Kind.MESSAGE, composedAt, new PeerMessageCodec().encode(message));
        }

        byte[] frame(Frame.Kind kind, long composedAt, byte[] payload) {
            byte[] content = new Frame(kind, new Timestamp(1, 0), composedAt, payload).encode();
            byte[] mac = authenticator.next(content, 0, content.length);
            byte[] frame = Arrays.copyOf(mac, mac.length + content.length);
            System.arraycopy(content, 0, frame, mac.length, content.length);
            return frame;
        }

        void send(byte[]... frames) throws IOException {
            for (byte[] frame : frames) {
                output.writeInt(frame.length);
                output.write(frame);
            }
            output.flush();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
