package org.bergamothoist.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.peer.PeerMessage;
import org.bergamothoist.core.peer.RosterDigest;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.protocol.generated.LogRecordMessages;
import org.junit.jupiter.api.Test;

class CodecTest {

    private final LogRecordCodec records = new LogRecordCodec();
    private final PeerMessageCodec messages = new PeerMessageCodec();

    /** Guards against fields that are lost or changed, which would make daemons disagree. */
    @Property(tries = 200, seed = "4101")
    void recordsRoundTrip(@ForAll long seed) {
        for (LogRecord record : new Samples(seed).records()) {
            assertThat(records.decode(records.encode(record))).isEqualTo(record);
        }
    }

    /** Guards against fields that are lost or changed between daemons. */
    @Property(tries = 200, seed = "4102")
    void messagesRoundTrip(@ForAll long seed) {
        for (PeerMessage message : new Samples(seed).messages()) {
            assertThat(messages.decode(messages.encode(message))).isEqualTo(message);
        }
    }

    /** Guards against a bad record that stops the fold on every daemon. */
    @Property(tries = 2000, seed = "4103")
    void randomBytesDecodeToSomeRecord(@ForAll byte[] bytes) {
        assertThat(records.decode(bytes)).isNotNull();
    }

    /** Guards against a message that fails with anything but the documented exception. */
    @Property(tries = 2000, seed = "4104")
    void randomBytesDecodeToMessageOrProtocolException(@ForAll byte[] bytes) {
        assertDecodesOrIsRefused(bytes);
    }

    /** Guards against crashes on bytes that are almost valid, which random bytes rarely are. */
    @Property(tries = 300, seed = "4105")
    void damagedBytesNeverCrashTheDecoders(@ForAll long seed) {
        Random random = new Random(seed);
        Samples samples = new Samples(seed);
        for (LogRecord record : samples.records()) {
            assertThat(records.decode(damage(records.encode(record), random))).isNotNull();
        }
        for (PeerMessage message : samples.messages()) {
            assertDecodesOrIsRefused(damage(messages.encode(message), random));
        }
    }

    /** Guards against a record kind of a newer version that an older daemon cannot skip. */
    @Test
    void unknownKindBecomesUnknownRecord() {
        byte[] newerKind = {(byte) (12 << 3 | 2), 1, 42};
        assertThat(records.decode(newerKind)).isInstanceOf(LogRecord.Unknown.class);
    }

    /** Guards against an identifier that passes the wire format but not the core's checks. */
    @Test
    void invalidIdentifierBecomesUnknownRecord() {
        byte[] bytes =
                LogRecordMessages.LogRecord.newBuilder()
                        .setLossReport(LogRecordMessages.LossReport.newBuilder().setTarget("\n"))
                        .build()
                        .toByteArray();
        assertThat(records.decode(bytes)).isInstanceOf(LogRecord.Unknown.class);
    }

    /** Guards against a relay that makes a newer daemon skip a record it could fold. */
    @Test
    void relayEndsBeforeAnUnknownRecord() {
        LogRecord known = new LogRecord.LeaseRequest("orders/m", new Samples(1).daemon(), second());
        PeerMessage.LogTailRelay relay =
                new PeerMessage.LogTailRelay(
                        List.of(
                                new LogEntry(7, Instant.EPOCH, known),
                                new LogEntry(8, Instant.EPOCH, new LogRecord.Unknown("newer")),
                                new LogEntry(9, Instant.EPOCH, known)),
                        10,
                        second());
        PeerMessage.LogTailRelay decoded =
                (PeerMessage.LogTailRelay) messages.decode(messages.encode(relay));
        assertThat(decoded.entries()).extracting(LogEntry::offset).containsExactly(7L);
        assertThat(decoded.endOffset()).isEqualTo(10);
    }

    /** Guards against packed ages that shrink, which would make old information look current. */
    @Property(tries = 500, seed = "4106")
    void packedAgesNeverShrink(@ForAll int number) {
        Duration age = Duration.ofNanos(Math.floorMod((long) number * 7_919, 4_000_000_000L));
        RosterDigest digest =
                new RosterDigest(
                        1,
                        Duration.ZERO,
                        List.of(
                                new RosterDigest.Member(
                                        3, PeerMessage.DaemonStatus.SERVING, 9, age)));
        PeerMessage.Heartbeat heartbeat = new Samples(1).heartbeat();
        PeerMessage.Heartbeat sent =
                new PeerMessage.Heartbeat(
                        heartbeat.status(),
                        1,
                        age,
                        9,
                        Duration.ZERO,
                        heartbeat.demand(),
                        List.of(),
                        heartbeat.outstanding(),
                        true,
                        digest);
        PeerMessage.Heartbeat received =
                (PeerMessage.Heartbeat) messages.decode(messages.encode(sent));
        assertThat(received.age()).isGreaterThanOrEqualTo(age);
        assertThat(received.others().members())
                .allSatisfy(member -> assertThat(member.age()).isGreaterThanOrEqualTo(age));
    }

    private void assertDecodesOrIsRefused(byte[] bytes) {
        try {
            assertThat(messages.decode(bytes)).isNotNull();
        } catch (ProtocolException refused) {
            assertThat(refused.code()).isEqualTo(ErrorCode.INVALID_PEER_MESSAGE);
        }
    }

    private static byte[] damage(byte[] bytes, Random random) {
        int length = bytes.length == 0 ? 0 : bytes.length - random.nextInt(2);
        byte[] damaged = Arrays.copyOf(bytes, length);
        for (int count = random.nextInt(4); count > 0 && length > 0; count--) {
            damaged[random.nextInt(length)] = (byte) random.nextInt();
        }
        return damaged;
    }

    private static Duration second() {
        return Duration.ofSeconds(1);
    }

    /** Guards against an unknown kind being taken for an empty message. */
    @Test
    void messageOfUnknownKindIsRefused() {
        assertThatThrownBy(() -> messages.decode(new byte[0]))
                .isInstanceOf(UnsupportedMessageException.class);
    }
}
