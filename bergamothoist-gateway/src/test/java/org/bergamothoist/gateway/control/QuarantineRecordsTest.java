package org.bergamothoist.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.quarantine.GossipQuarantine;
import org.bergamothoist.core.quarantine.LostRun;
import org.bergamothoist.core.quarantine.RequestKeys;
import org.bergamothoist.core.quarantine.TargetLoss;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.bergamothoist.gateway.PlatformAdapter;
import org.bergamothoist.gateway.state.QuarantinedContent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class QuarantineRecordsTest {

    private static final Fingerprint EXPLAINED = new Fingerprint("0a".repeat(32));

    private boolean first;
    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final GossipQuarantine quarantine =
            new GossipQuarantine(
                    time,
                    new GossipQuarantine.Listener() {},
                    (kind, subject, inputs, result) -> {});
    private final CompletableFuture<Void> published = new CompletableFuture<>();
    private final List<QuarantinedContent> written = new ArrayList<>();
    private final List<Object> deleted = new ArrayList<>();
    private final PlatformAdapter.Store store =
            (PlatformAdapter.Store)
                    Proxy.newProxyInstance(
                            PlatformAdapter.Store.class.getClassLoader(),
                            new Class<?>[] {PlatformAdapter.Store.class},
                            (proxy, method, arguments) -> {
                                if (method.getName().equals("publishQuarantined")) {
                                    written.add((QuarantinedContent) arguments[0]);
                                    return published;
                                }
                                assertThat(method.getName()).isEqualTo("deleteQuarantined");
                                deleted.add(arguments[0]);
                                return CompletableFuture.completedFuture(null);
                            });
    private final QuarantineRecords records =
            new QuarantineRecords(
                    store,
                    quarantine,
                    () -> false,
                    () -> first,
                    time,
                    time,
                    (kind, subject, inputs, result) -> {});

    private void lose(String target, Fingerprint... running) {
        time.advanceMillis(400);
        for (Fingerprint key : running) {
            quarantine.onTargetLost(
                    new TargetLoss(target, "1"),
                    Map.of(key, new LostRun("route=r", time.instant(), time.instant())));
        }
    }

    /**
     * Guards against the release of content that crashes targets: others explained its losses when
     * the store answered, and the deletion of its record cleared it at all daemons.
     */
    @Test
    void recordOfContentWhoseLossesOthersExplainIsKept() {
        Fingerprint other = new Fingerprint("0b".repeat(32));
        List.of("a", "b", "c").forEach(target -> lose(target, EXPLAINED, other));
        records.publish(EXPLAINED, "route=r");
        List.of("d", "e").forEach(target -> lose(target, other));
        assertThat(quarantine.isQuarantined(EXPLAINED)).isFalse();
        published.complete(null);
        assertThat(deleted).isEmpty();
        quarantine.onCompleted(RequestKeys.ofContent(EXPLAINED));
        records.onServedAgain(EXPLAINED);
        assertThat(deleted).containsExactly(EXPLAINED);
    }

    private QuarantinedContent refusedRecord() {
        List.of("a", "b", "c").forEach(target -> lose(target, EXPLAINED));
        return new QuarantinedContent(
                EXPLAINED,
                "route=other",
                quarantine.losses(EXPLAINED),
                time.instant().plus(quarantine.timeLeft(EXPLAINED)));
    }

    /** Guards against a record that is lost because its writer or one daemon for all is absent. */
    @ParameterizedTest
    @CsvSource({"true, false, route=own", "false, true, route=other"})
    void missingRecordIsWrittenAgain(boolean writer, boolean first, String origin) {
        QuarantinedContent record = refusedRecord();
        this.first = first;
        published.complete(null);
        records.onRecord(record);
        if (writer) {
            records.publish(EXPLAINED, "route=own");
        }
        written.clear();
        records.onStoreFallback();
        records.restore();
        records.restore();
        assertThat(written).extracting(QuarantinedContent::origin).containsExactly(origin);
    }

    /** Guards against records that all daemons write although one is enough, or none is missing. */
    @ParameterizedTest
    @CsvSource({"false, false", "true, true"})
    void recordIsNotWrittenByOthersOrOnceItWasReadAgain(boolean first, boolean readAgain) {
        QuarantinedContent record = refusedRecord();
        this.first = first;
        records.onRecord(record);
        records.onStoreFallback();
        if (readAgain) {
            records.onRecord(record);
        }
        records.restore();
        assertThat(written).isEmpty();
    }

    /** Guards against a content that is refused again after its release, for lost deletions. */
    @Test
    void recordOfReleasedContentIsDeletedAgainUnlessALossIsNew() {
        QuarantinedContent record = refusedRecord();
        first = true;
        records.onRecord(record);
        records.onDeleted(EXPLAINED);
        records.onStoreFallback();
        records.onRecord(record);
        time.advanceMillis(5_000);
        assertThat(deleted).containsExactly(EXPLAINED);
        assertThat(quarantine.isQuarantined(EXPLAINED)).isFalse();
        List.of("d", "e", "f").forEach(target -> lose(target, EXPLAINED));
        records.onRecord(
                new QuarantinedContent(
                        EXPLAINED,
                        "route=other",
                        quarantine.losses(EXPLAINED),
                        record.refusedUntil()));
        time.advanceMillis(5_000);
        assertThat(deleted).hasSize(1);
    }
}
