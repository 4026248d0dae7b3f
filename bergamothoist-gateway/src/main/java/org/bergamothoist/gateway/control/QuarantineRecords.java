package org.bergamothoist.gateway.control;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.quarantine.GossipQuarantine;
import org.bergamothoist.core.quarantine.SuspectContents;
import org.bergamothoist.core.quarantine.SuspectReport;
import org.bergamothoist.core.quarantine.TargetLoss;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.PlatformAdapter;
import org.bergamothoist.gateway.state.QuarantinedContent;

/**
 * Keeps quarantined contents in the platform's store: daemons that start learn of them there, and
 * operators see them and release one by deleting its record. Confined to the event loop.
 *
 * <p>When the store comes back from an older copy, it may have lost records, which are written
 * again, and deletions, which are repeated: by the daemons that wrote the record and by one that is
 * chosen among all, since the writer may have ended.
 */
public final class QuarantineRecords {

    private static final Duration RETRY_PAUSE = Duration.ofMillis(500);

    /** Interval between the deletions of records whose refusal has ended. */
    private static final Duration CLEANING_INTERVAL = Duration.ofSeconds(30);

    /** Maximum number of records written at once, so that the store's calls stay few. */
    private static final int MAXIMUM_WRITES = 10;

    private final PlatformAdapter.Store store;
    private final GossipQuarantine quarantine;
    private final BooleanSupplier cleaning;
    private final BooleanSupplier restoring;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final DecisionLog log;
    private final Map<Fingerprint, StoredRecord> stored = new HashMap<>();

    /** Origins of the contents whose records this daemon has written, while losses are known. */
    private final Map<Fingerprint, String> written = new HashMap<>();

    /** Contents whose records have not been seen since the store fell back. */
    private final Set<Fingerprint> missing = new LinkedHashSet<>();

    /** Contents with a record whose losses were all cleared: its deletion was lost. */
    private final Set<Fingerprint> withdrawn = new LinkedHashSet<>();

    private record StoredRecord(String origin, Instant refusedUntil) {}

    /**
     * Creates the records.
     *
     * @param cleaning whether this daemon deletes records whose refusal has ended; true for one of
     *     the daemons at most
     * @param restoring whether this daemon also restores other daemons' records after the store has
     *     fallen back
     */
    public QuarantineRecords(
            PlatformAdapter.Store store,
            GossipQuarantine quarantine,
            BooleanSupplier cleaning,
            BooleanSupplier restoring,
            Scheduler scheduler,
            InstantSource clock,
            DecisionLog log) {
        this.store = store;
        this.quarantine = quarantine;
        this.cleaning = cleaning;
        this.restoring = restoring;
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
                    stored.entrySet().stream()
                            .filter(entry -> entry.getValue().refusedUntil().isBefore(now))
                            .map(Map.Entry::getKey)
                            .limit(MAXIMUM_WRITES)
                            .toList();
            over.forEach(this::delete);
        }
        written.keySet().removeIf(content -> quarantine.losses(content).isEmpty());
        restore();
        scheduler.schedule(CLEANING_INTERVAL, this::clean);
    }

    /** Notes that the store may have lost records; those that are read again are not missing. */
    public void onStoreFallback() {
        missing.addAll(stored.keySet());
        missing.addAll(written.keySet());
        withdrawn.clear();
    }

    /**
     * Writes missing records of contents that are still refused, and repeats lost deletions. To be
     * called some time after the store has fallen back.
     */
    public void restore() {
        missing.removeIf(content -> !quarantine.isQuarantined(content));
        for (Fingerprint content : toRestore(missing)) {
            missing.remove(content);
            publish(content, origin(content));
        }
        for (Fingerprint content : toRestore(withdrawn)) {
            withdrawn.remove(content);
            delete(content);
        }
        if (!toRestore(missing).isEmpty() || !toRestore(withdrawn).isEmpty()) {
            scheduler.schedule(RETRY_PAUSE, this::restore);
        }
    }

    private List<Fingerprint> toRestore(Collection<Fingerprint> contents) {
        return contents.stream()
                .filter(content -> written.containsKey(content) || restoring.getAsBoolean())
                .limit(MAXIMUM_WRITES)
                .toList();
    }

    private String origin(Fingerprint content) {
        String ownOrigin = written.get(content);
        return ownOrigin == null ? stored.get(content).origin() : ownOrigin;
    }

    /** Deletes the record of a content that is served again before its refusal was to end. */
    public void onServedAgain(Fingerprint content) {
        if (stored.containsKey(content)) {
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
        written.put(content, origin);
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
                            missing.remove(content);
                            stored.put(content, new StoredRecord(origin, record.refusedUntil()));
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
        stored.put(
                record.content(),
                new StoredRecord(
                        record.origin(),
                        record.refusedUntil().isAfter(latest) ? latest : record.refusedUntil()));
        missing.remove(record.content());
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
        withdrawn.remove(record.content());
        if (isWithdrawn(record)) {
            withdrawn.add(record.content());
            // Its deletion may follow in the same page.
            scheduler.schedule(RETRY_PAUSE, this::restore);
        }
    }

    /** Returns whether all losses of a record were cleared, by a completion or by its deletion. */
    private boolean isWithdrawn(QuarantinedContent record) {
        Set<TargetLoss> cleared =
                quarantine.losses(record.content()).stream()
                        .filter(SuspectContents.Loss::cleared)
                        .map(SuspectContents.Loss::target)
                        .collect(Collectors.toSet());
        return !record.losses().isEmpty()
                && record.losses().stream()
                        .map(SuspectContents.Loss::target)
                        .allMatch(cleared::contains);
    }

    /** Another daemon's clock may be ahead of this one's, and a record may have any times. */
    private static Duration age(Instant at, Instant now) {
        Duration age = at.isAfter(now) ? Duration.ZERO : Duration.between(at, now);
        return age.compareTo(GossipQuarantine.RETENTION) > 0 ? GossipQuarantine.RETENTION : age;
    }

    /** Releases a content whose record was deleted. */
    public void onDeleted(Fingerprint content) {
        missing.remove(content);
        withdrawn.remove(content);
        if (stored.remove(content) != null) {
            quarantine.onReleased(content);
        }
    }
}
