package org.bergamothoist.protocol;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.UUID;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.log.SharedStateSnapshot;
import org.bergamothoist.core.peer.PeerMessage;
import org.bergamothoist.core.peer.RosterDigest;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.sheet.ModelEntitlement;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.core.sheet.OrganisationLimits;
import org.bergamothoist.core.sheet.OrganisationState;
import org.bergamothoist.core.sheet.ServiceEntitlement;
import org.bergamothoist.core.sheet.SheetVerdict;

/** Makes random records and messages of every kind from a seed. */
final class Samples {

    private final Random random;

    Samples(long seed) {
        random = new Random(seed);
    }

    /** One record of each kind that a log holds. */
    List<LogRecord> records() {
        return List.of(
                new LogRecord.SheetSubmission(text(), text(), text(), list(this::entry)),
                new LogRecord.ClaimBatch(
                        new UUID(random.nextLong(), random.nextLong()),
                        daemon(),
                        list(this::claimKey),
                        list(this::claimKey),
                        list(() -> new LogRecord.ClaimOutcome(claimKey(), random.nextBoolean()))),
                new LogRecord.DaemonJoined(daemon(), text(), text(), text(), text()),
                new LogRecord.DaemonLeft(daemon(), daemon()),
                new LogRecord.LeaseRequest(text(), daemon(), duration()),
                new LogRecord.LeaseRelease(text(), daemon(), random.nextLong()),
                lossReport(),
                new LogRecord.QuarantineRelease(List.of(fingerprint()), text()),
                new LogRecord.Checkpoint(daemon(), random.nextLong(), text(), snapshot()));
    }

    /** One message of each kind, in a form that the encoding keeps exactly. */
    List<PeerMessage> messages() {
        List<LogEntry> entries =
                records().stream()
                        .map(record -> new LogEntry(random.nextLong(), instant(), record))
                        .toList();
        return List.of(
                heartbeat(),
                new PeerMessage.LogTailRelay(entries, random.nextLong(), duration()),
                new PeerMessage.SnapshotRequest(),
                new PeerMessage.SnapshotAnswer(snapshot(), duration(), list(this::hotPrefix)),
                new PeerMessage.HotPrefixes(list(this::hotPrefix)),
                new PeerMessage.LossNotice(random.nextLong(), lossReport()),
                new PeerMessage.LossNoticeAck(random.nextLong()));
    }

    PeerMessage.Heartbeat heartbeat() {
        return new PeerMessage.Heartbeat(
                status(),
                random.nextLong(),
                Duration.ofMillis(random.nextInt(100_000)),
                random.nextLong(),
                Duration.ofMillis(random.nextInt(100_000)),
                map(OrganisationId::new, () -> random.nextInt(1_000_000)),
                list(() -> new TargetId(text())),
                map(
                        TargetId::new,
                        () ->
                                new PeerMessage.Outstanding(
                                        random.nextInt(1_000_000), random.nextInt(1_000))),
                random.nextBoolean(),
                digest(random.nextInt(500)));
    }

    private RosterDigest digest(int size) {
        int levels = 1 + random.nextInt(6);
        List<RosterDigest.Member> members =
                IntStream.range(0, size)
                        .filter(position -> random.nextInt(4) > 0)
                        .mapToObj(
                                position ->
                                        new RosterDigest.Member(
                                                position,
                                                status(),
                                                100L + random.nextInt(levels) * 1_000_000L,
                                                RosterDigest.AGE_STEP.multipliedBy(
                                                        random.nextInt(15))))
                        .toList();
        return new RosterDigest(random.nextLong(), Duration.ofMillis(random.nextInt(9)), members);
    }

    SharedStateSnapshot snapshot() {
        return new SharedStateSnapshot(
                random.nextLong(),
                instant(),
                list(() -> new OrganisationState(entry(), random.nextLong(), text())),
                list(this::verdict),
                list(
                        () ->
                                new SharedStateSnapshot.RosterMember(
                                        daemon(),
                                        text(),
                                        text(),
                                        text(),
                                        text(),
                                        random.nextLong(),
                                        random.nextInt())),
                list(
                        () ->
                                new SharedStateSnapshot.ClaimState(
                                        claimKey(),
                                        daemon(),
                                        random.nextLong(),
                                        random.nextBoolean())),
                list(
                        () ->
                                new SharedStateSnapshot.LeaseState(
                                        text(), daemon(), random.nextLong(), instant())),
                list(
                        () ->
                                new SharedStateSnapshot.Suspicion(
                                        fingerprint(),
                                        random.nextInt(),
                                        instant(),
                                        List.of(
                                                new SharedStateSnapshot.LostEngine(
                                                        new TargetId("engine-1"),
                                                        new EngineIncarnation("i-1"))))));
    }

    private SheetVerdict verdict() {
        return new SheetVerdict(
                random.nextLong(),
                random.nextLong(),
                text(),
                text(),
                text(),
                random.nextBoolean(),
                instant(),
                list(
                        () ->
                                new SheetVerdict.Conflict(
                                        new OrganisationId(text()),
                                        random.nextLong(),
                                        random.nextLong(),
                                        text())));
    }

    private OrganisationEntry entry() {
        return new OrganisationEntry(
                new OrganisationId(text()),
                random.nextLong(),
                text(),
                list(
                        () ->
                                new ModelEntitlement(
                                        new ModelKey(text(), text(), text()),
                                        random.nextBoolean())),
                list(() -> new ServiceEntitlement(text(), "/" + text(), random.nextBoolean())),
                new OrganisationLimits(random.nextInt(), random.nextInt(), random.nextInt()));
    }

    private PeerMessage.HotPrefix hotPrefix() {
        return new PeerMessage.HotPrefix(
                new TargetId(text()), new EngineIncarnation(text()), list(random::nextLong));
    }

    private LogRecord.LossReport lossReport() {
        return new LogRecord.LossReport(
                new TargetId(text()),
                new EngineIncarnation(text()),
                daemon(),
                list(this::fingerprint));
    }

    private LogRecord.ClaimKey claimKey() {
        Instant created = Instant.ofEpochMilli(random.nextInt(Integer.MAX_VALUE));
        return new LogRecord.ClaimKey(
                new OrganisationId(text()), RequestId.create(created, random));
    }

    private Fingerprint fingerprint() {
        byte[] bytes = new byte[32];
        random.nextBytes(bytes);
        return new Fingerprint(HexFormat.of().formatHex(bytes));
    }

    private PeerMessage.DaemonStatus status() {
        return PeerMessage.DaemonStatus.values()[random.nextInt(3)];
    }

    DaemonId daemon() {
        return new DaemonId(text(), random.nextLong());
    }

    private Instant instant() {
        return Instant.ofEpochSecond(random.nextInt(), random.nextInt(1_000_000_000));
    }

    private Duration duration() {
        return Duration.ofSeconds(random.nextInt(1_000_000), random.nextInt(1_000_000_000));
    }

    private String text() {
        List<String> words = List.of("Brunner & Söhne", "al-harthy", "نور 1", "biel-a", "x");
        return words.get(random.nextInt(words.size())) + "-" + random.nextInt(1_000);
    }

    private <T> List<T> list(Supplier<T> element) {
        return Stream.generate(element).limit(random.nextInt(4)).toList();
    }

    private <K, V> Map<K, V> map(Function<String, K> key, Supplier<V> value) {
        Map<K, V> map = new HashMap<>();
        for (int count = random.nextInt(4); count > 0; count--) {
            map.put(key.apply(text()), value.get());
        }
        return map;
    }
}
