package org.bergamothoist.gateway.control;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.quarantine.GossipQuarantine;
import org.bergamothoist.core.quarantine.SuspectReport;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.PlatformAdapter;
import org.bergamothoist.gateway.state.QuarantinedContent;

/**
 * Keeps quarantined contents in the platform's store: daemons that start learn of them there, and
 * operators see them and release one by deleting its record. Confined to the event loop.
 */
public final class QuarantineRecords {

    private static final Duration RETRY_PAUSE = Duration.ofMillis(500);

    /** Interval between the deletions of records whose refusal has ended. */
    private static final Duration CLEANING_INTERVAL = Duration.ofSeconds(30);

    /** Maximum number of records deleted at once, so that the store's calls stay few. */
    private static final int MAXIMUM_DELETIONS = 10;

    private final PlatformAdapter.Store store;
    private final GossipQuarantine quarantine;
    private final BooleanSupplier cleaning;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final DecisionLog log;
    private final Map<Fingerprint, Instant> storedUntil = new HashMap<>();

    /**
     * Creates the records.
     *
     * @param cleaning whether this daemon deletes records whose refusal has ended; true for one of
     *     the daemons at most
     */
    public QuarantineRecords(
            PlatformAdapter.Store store,
            GossipQuarantine quarantine,
            BooleanSupplier cleaning,
            Scheduler scheduler,
            InstantSource clock,
            DecisionLog log) {
        this.store = store;
        this.quarantine = quarantine;
        this.cleaning = cleaning;
        this.scheduler = scheduler;
        this.clock = clock;
        this.log = log;
    }

    /** Starts to delete records whose refusal has ended. */
    public void start() {
        scheduler.schedule(CLEANING_INTERVAL, this::clean);
    }

    private void clean() {
        Instant now = clock.instant();
        if (cleaning.getAsBoolean()) {
            List<Fingerprint> over =
                    storedUntil.entrySet().stream()
                            .filter(entry -> entry.getValue().isBefore(now))
                            .map(Map.Entry::getKey)
                            .limit(MAXIMUM_DELETIONS)
                            .toList();
            over.forEach(this::delete);
        }
        scheduler.schedule(CLEANING_INTERVAL, this::clean);
    }

    /** Deletes the record of a content that is served again before its refusal was to end. */
    public void onServedAgain(Fingerprint content) {
        if (storedUntil.containsKey(content)) {
            delete(content);
        }
    }

    /**
     * Deletes the record of a content unless its losses count; repeats it until it is deleted or
     * they count again. The record of a content whose losses others explain stays: its deletion
     * would release it.
     */
    private void delete(Fingerprint content) {
        if (quarantine.hasReachedThreshold(content)) {
            return;
        }
        store.deleteQuarantined(content)
                .whenComplete(
                        (done, failure) -> {
                            if (failure != null) {
                                logFailure(content, failure, "not deleted, will be repeated");
                                scheduler.schedule(RETRY_PAUSE, () -> delete(content));
                            }
                        });
    }

    /** Writes the record of a quarantined content; repeats it until it is stored. */
    public void publish(Fingerprint content, String origin) {
        if (!quarantine.isQuarantined(content)) {
            return;
        }
        var record =
                new QuarantinedContent(
                        content,
                        origin,
                        quarantine.losses(content),
                        clock.instant().plus(quarantine.timeLeft(content)));
        store.publishQuarantined(record)
                .whenComplete(
                        (done, failure) -> {
                            if (failure != null) {
                                logFailure(content, failure, "not stored, will be repeated");
                                scheduler.schedule(RETRY_PAUSE, () -> publish(content, origin));
                                return;
                            }
                            storedUntil.put(content, record.refusedUntil());
                            delete(content);
                        });
    }

    private void logFailure(Fingerprint content, Throwable failure, String outcome) {
        log.write(
                DecisionKind.DEPENDENCY_LOST,
                "store",
                () -> "quarantined content " + content.abbreviated() + ": " + failure,
                outcome);
    }

    /** Takes over a record that was read from the store. */
    public void onRecord(QuarantinedContent record) {
        Instant now = clock.instant();
        Instant latest = now.plus(GossipQuarantine.RETENTION);
        storedUntil.put(
                record.content(),
                record.refusedUntil().isAfter(latest) ? latest : record.refusedUntil());
        List<SuspectReport.ReportedLoss> losses =
                record.losses().stream()
                        .map(
                                loss ->
                                        new SuspectReport.ReportedLoss(
                                                loss.target(),
                                                age(loss.sentAt(), loss.at()),
                                                age(loss.at(), now),
                                                loss.cleared()))
                        .toList();
        quarantine.merge(List.of(new SuspectReport(record.content(), losses)), "store");
    }

    /** Another daemon's clock may be ahead of this one's, and a record may have any times. */
    private static Duration age(Instant at, Instant now) {
        Duration age = at.isAfter(now) ? Duration.ZERO : Duration.between(at, now);
        return age.compareTo(GossipQuarantine.RETENTION) > 0 ? GossipQuarantine.RETENTION : age;
    }

    /** Releases a content whose record was deleted. */
    public void onDeleted(Fingerprint content) {
        if (storedUntil.remove(content) != null) {
            quarantine.onReleased(content);
        }
    }
}
