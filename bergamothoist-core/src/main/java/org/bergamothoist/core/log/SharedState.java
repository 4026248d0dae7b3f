package org.bergamothoist.core.log;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.log.ApplyResult.CheckpointSeen;
import org.bergamothoist.core.log.ApplyResult.Comparison;
import org.bergamothoist.core.log.ApplyResult.Unchanged;
import org.bergamothoist.core.log.LogRecord.ClaimKey;
import org.bergamothoist.core.log.SharedStateSnapshot.ClaimState;
import org.bergamothoist.core.log.SharedStateSnapshot.LeaseState;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;
import org.bergamothoist.core.log.SharedStateSnapshot.Suspicion;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.sheet.OrganisationState;
import org.bergamothoist.core.sheet.SheetVerdict;

/**
 * The replicated state that results from applying the log's records in order. It is deterministic:
 * daemons at the same offset have equal states, no matter from which checkpoint they started, and
 * the only clock is the append time of the records. Confined to the control thread.
 */
public final class SharedState {

    /** Age of a non-idempotent request up to which a duplicate of it is detected. */
    public static final Duration DEDUPLICATION_WINDOW = Duration.ofMinutes(10);

    /**
     * Age of a request, by the log's time, at which its claim is removed: the deduplication window
     * plus 2 minutes, since callers' and daemons' clocks may each be off by up to 1 minute.
     */
    public static final Duration CLAIM_RETENTION = DEDUPLICATION_WINDOW.plusMinutes(2);

    /**
     * Number of engine losses at which a fingerprint is quarantined. A single loss may have been
     * caused by another request that ran in the same batch.
     */
    public static final int QUARANTINE_THRESHOLD = 2;

    /** Time after the last counted loss until a fingerprint's suspicion and quarantine expire. */
    public static final Duration QUARANTINE_DURATION = Duration.ofHours(1);

    private final OrganisationTable organisations = new OrganisationTable();
    private final ClaimTable claims = new ClaimTable();
    private final RosterTable roster = new RosterTable();
    private final LeaseTable leases = new LeaseTable();
    private final SuspicionTable suspicions = new SuspicionTable();
    private long appliedOffset;
    private Instant logTime = Instant.EPOCH;

    /**
     * Applies the next record.
     *
     * @throws IllegalArgumentException if the entry does not follow the last one applied
     */
    public ApplyResult apply(LogEntry entry) {
        if (entry.offset() != appliedOffset + 1) {
            throw new IllegalArgumentException(
                    "expected log entry at offset "
                            + (appliedOffset + 1)
                            + ", but got offset "
                            + entry.offset());
        }
        // A checkpoint is compared before the state advances: it covers only earlier records.
        Optional<ApplyResult> compared = compareWithCheckpoint(entry.record());
        appliedOffset = entry.offset();
        if (entry.appendTime().isAfter(logTime)) {
            logTime = entry.appendTime();
        }
        claims.prune(logTime);
        suspicions.prune(logTime);
        return compared.orElseGet(() -> applyToTables(entry));
    }

    private Optional<ApplyResult> compareWithCheckpoint(LogRecord record) {
        if (!(record instanceof LogRecord.Checkpoint checkpoint)) {
            return Optional.empty();
        }
        Comparison comparison = Comparison.NOT_COMPARED;
        if (checkpoint.coveredOffset() == appliedOffset) {
            boolean equal = digest(snapshot()).equals(checkpoint.digest());
            comparison = equal ? Comparison.MATCHES : Comparison.DIFFERS;
        }
        return Optional.of(new CheckpointSeen(checkpoint, comparison));
    }

    private ApplyResult applyToTables(LogEntry entry) {
        LogRecord record = entry.record();
        if (record instanceof LogRecord.ClaimBatch batch) {
            return claims.apply(entry.offset(), logTime, batch);
        }
        if (record instanceof LogRecord.SheetSubmission sheet) {
            return organisations.apply(entry, sheet);
        }
        if (record instanceof LogRecord.DaemonJoined joined) {
            return roster.join(entry.offset(), joined);
        }
        if (record instanceof LogRecord.DaemonLeft left) {
            return roster.leave(left.daemon());
        }
        if (record instanceof LogRecord.LeaseRequest request) {
            return leases.request(entry.offset(), logTime, request);
        }
        if (record instanceof LogRecord.LeaseRelease release) {
            return leases.release(release);
        }
        if (record instanceof LogRecord.LossReport report) {
            return suspicions.count(logTime, report);
        }
        if (record instanceof LogRecord.QuarantineRelease release) {
            return suspicions.release(release);
        }
        return new Unchanged();
    }

    /** Returns the offset of the last record applied, 0 if none. */
    public long appliedOffset() {
        return appliedOffset;
    }

    /** Returns the log's time: the latest append time among the records applied. */
    public Instant logTime() {
        return logTime;
    }

    /** Returns the organisation in force with an identifier. */
    public Optional<OrganisationState> organisation(OrganisationId organisation) {
        return organisations.organisation(organisation);
    }

    /**
     * Returns the organisation in force that owns a caller key.
     *
     * @param keyDigest hexadecimal SHA-256 of the key
     */
    public Optional<OrganisationState> organisationByKeyDigest(String keyDigest) {
        return organisations.byKeyDigest(keyDigest);
    }

    /** Returns an unmodifiable view of all organisations in force, sorted by identifier. */
    public Collection<OrganisationState> organisations() {
        return organisations.organisations();
    }

    /** Returns the verdict on a sheet's first submission; empty if it is unknown or too old. */
    public Optional<SheetVerdict> verdict(String digest) {
        return organisations.verdict(digest);
    }

    /** Returns the claim on a request, if there is one. */
    public Optional<ClaimState> claim(ClaimKey key) {
        return claims.claim(key);
    }

    /** Returns whether a request is so old that a new claim on it would be refused. */
    public boolean isExpired(ClaimKey key) {
        return ClaimTable.isExpired(key, logTime);
    }

    /** Returns an unmodifiable view of the daemon roster, sorted by daemon name. */
    public Collection<RosterMember> roster() {
        return roster.members();
    }

    /** Returns the roster member with a daemon name, whatever its incarnation. */
    public Optional<RosterMember> rosterMember(String name) {
        return roster.member(name);
    }

    /** Returns the most recent lease on a resource, which may have expired. */
    public Optional<LeaseState> lease(String resource) {
        return leases.lease(resource);
    }

    /** Returns the engine losses counted for a fingerprint. */
    public Optional<Suspicion> suspicion(Fingerprint fingerprint) {
        return suspicions.suspicion(fingerprint);
    }

    /** Returns whether requests with this fingerprint are refused. */
    public boolean isQuarantined(Fingerprint fingerprint) {
        return suspicion(fingerprint)
                .filter(suspicion -> suspicion.losses() >= QUARANTINE_THRESHOLD)
                .isPresent();
    }

    /** Returns an immutable, sorted copy of the state. */
    public SharedStateSnapshot snapshot() {
        return new SharedStateSnapshot(
                appliedOffset,
                logTime,
                List.copyOf(organisations.organisations()),
                List.copyOf(organisations.verdicts()),
                List.copyOf(roster.members()),
                List.copyOf(claims.claims()),
                List.copyOf(leases.leases()),
                List.copyOf(suspicions.suspicions()));
    }

    /** Replaces the whole state by a snapshot. */
    public void restore(SharedStateSnapshot snapshot) {
        appliedOffset = snapshot.appliedOffset();
        logTime = snapshot.logTime();
        organisations.restore(snapshot.organisations(), snapshot.verdicts());
        roster.restore(snapshot.roster());
        claims.restore(snapshot.claims());
        leases.restore(snapshot.leases());
        suspicions.restore(snapshot.suspicions());
    }

    /** Returns the hexadecimal SHA-256 of a snapshot's canonical encoding. */
    public static String digest(SharedStateSnapshot snapshot) {
        return SnapshotDigest.of(snapshot);
    }
}
