package org.bergamothoist.measure.capacity;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.quarantine.FingerprintCalculator;
import org.bergamothoist.core.sheet.ModelEntitlement;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.core.sheet.OrganisationLimits;
import org.bergamothoist.core.sheet.ServiceEntitlement;
import org.bergamothoist.core.sheet.SheetDigest;

/** Makes log records of a fleet. */
final class Records {

    static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private static final int MODELS = 29;
    private static final int MODELS_OF_ORGANISATION = 4;

    private final Random random = new Random(1);
    private long offset;

    LogEntry next(LogRecord record) {
        offset++;
        return new LogEntry(offset, START.plusMillis(offset), record);
    }

    LogRecord sheet(int organisation, long baseVersion, int change) {
        List<ModelEntitlement> models = new ArrayList<>();
        for (int model = 0; model < MODELS_OF_ORGANISATION; model++) {
            String name = "model-" + (organisation + model) % MODELS;
            models.add(new ModelEntitlement(new ModelKey(name, "base", "v1"), model == 0));
        }
        OrganisationEntry entry =
                new OrganisationEntry(
                        new OrganisationId("organisation-" + organisation),
                        baseVersion,
                        FingerprintCalculator.keyDigest("key-" + organisation),
                        models,
                        List.of(new ServiceEntitlement("service", "/orders", true)),
                        new OrganisationLimits(10 + change, 100, 1));
        List<OrganisationEntry> entries = List.of(entry);
        return new LogRecord.SheetSubmission(
                SheetDigest.of(entries), "office", "operator", entries);
    }

    LogRecord claims(int daemon, int count) {
        List<LogRecord.ClaimKey> keys = new ArrayList<>();
        for (int claim = 0; claim < count; claim++) {
            keys.add(
                    new LogRecord.ClaimKey(
                            new OrganisationId("organisation-" + random.nextInt(8)),
                            RequestId.create(START, random)));
        }
        return new LogRecord.ClaimBatch(
                new UUID(random.nextLong(), random.nextLong()),
                daemon(daemon, 1),
                keys,
                List.of(),
                List.of());
    }

    LogRecord join(int daemon, long incarnation) {
        return new LogRecord.DaemonJoined(
                daemon(daemon, incarnation),
                "entry-" + daemon,
                "10.0." + daemon / 250 + "." + daemon % 250 + ":7000",
                "10.0." + daemon / 250 + "." + daemon % 250 + ":8080",
                "centre-" + daemon % 7);
    }

    static DaemonId daemon(int number, long incarnation) {
        return new DaemonId("entry-" + number, incarnation);
    }
}
