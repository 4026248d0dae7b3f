package org.bergamothoist.core.log;

import java.time.Instant;
import java.util.HexFormat;
import java.util.List;
import java.util.UUID;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.log.LogRecord.ClaimBatch;
import org.bergamothoist.core.log.LogRecord.ClaimKey;
import org.bergamothoist.core.log.LogRecord.DaemonJoined;
import org.bergamothoist.core.log.LogRecord.LossReport;
import org.bergamothoist.core.log.LogRecord.SheetSubmission;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.sheet.ModelEntitlement;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.core.sheet.OrganisationLimits;
import org.bergamothoist.core.sheet.SheetDigest;

/** Creates log records and their parts for tests. */
public final class LogRecordFixtures {

    public static final DaemonId FIRST = daemon("a", 1);
    public static final DaemonId SECOND = daemon("b", 1);

    private LogRecordFixtures() {}

    public static DaemonId daemon(String name, long incarnation) {
        return new DaemonId(name, incarnation);
    }

    /** Returns an organisation whose content differs by its limit of requests per second only. */
    public static OrganisationEntry organisation(
            String name, long baseVersion, String keyDigest, int requestsPerSecond) {
        return new OrganisationEntry(
                new OrganisationId(name),
                baseVersion,
                keyDigest,
                List.of(new ModelEntitlement(new ModelKey("m", "base", "1"), false)),
                List.of(),
                new OrganisationLimits(requestsPerSecond, 10, 1));
    }

    public static OrganisationEntry organisation(
            String name, long baseVersion, int requestsPerSecond) {
        return organisation(name, baseVersion, "key-" + name, requestsPerSecond);
    }

    public static SheetSubmission sheet(String office, OrganisationEntry... entries) {
        List<OrganisationEntry> list = List.of(entries);
        return new SheetSubmission(SheetDigest.of(list), office, "operator", list);
    }

    /** Returns a key whose request identifier, a version 7 UUID, has a creation time. */
    public static ClaimKey claimKey(Instant creationTime, long number) {
        long timeBits = creationTime.toEpochMilli() << 16 | 0x7000;
        UUID value = new UUID(timeBits, Long.MIN_VALUE | number);
        return new ClaimKey(new OrganisationId("o"), new RequestId(value));
    }

    public static ClaimBatch claims(DaemonId holder, ClaimKey... keys) {
        return new ClaimBatch(UUID.randomUUID(), holder, List.of(keys), List.of(), List.of());
    }

    public static ClaimBatch releases(DaemonId holder, ClaimKey... keys) {
        return new ClaimBatch(UUID.randomUUID(), holder, List.of(), List.of(keys), List.of());
    }

    public static DaemonJoined joined(DaemonId daemon, String address) {
        return new DaemonJoined(daemon, "vm-" + daemon.name(), address, address, "biel-a");
    }

    public static DaemonJoined joined(DaemonId daemon) {
        return joined(daemon, daemon.name() + ":1");
    }

    public static Fingerprint fingerprint(int number) {
        return new Fingerprint(HexFormat.of().toHexDigits(number).repeat(8));
    }

    public static LossReport loss(String incarnation, Fingerprint... suspects) {
        return new LossReport(
                new TargetId("engine"),
                new EngineIncarnation(incarnation),
                FIRST,
                List.of(suspects));
    }
}
