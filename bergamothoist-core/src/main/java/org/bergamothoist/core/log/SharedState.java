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
 * Folds the log to the state that all daemons share. Daemons that have folded the same records have
 * equal states, wherever they started. The only clock is the append time of records. Confined to
 * the control thread.
 */
public final class SharedState {

    /** Age up to which a repeated non-idempotent request is recognised. */
    public static final Duration DEDUPLICATION_WINDOW = Duration.ofMinutes(10);

    /**
     * Age by the log's time at which claims are removed: the duplicate window plus 2 minutes, since
     * callers' and daemons' clocks may each differ by up to 1 minute.
     */
    public static final Duration CLAIM_RETENTION = DEDUPLICATION_WINDOW.plusMinutes(2);

    /**
     * Losses from which on a fingerprint is quarantined. The first may be a coincidence of its
     * batch.
     */
    public static final int QUARANTINE_THRESHOLD = 2;

    /** Time for which a fingerprint is remembered after the last counted loss. */
    public static final Duration QUARANTINE_DURATION = Duration.ofHours(1);

    private final OrganisationTable organisations = new OrganisationTable();
    private final ClaimTable claims = new ClaimTable();
    private final RosterTable roster = new RosterTable();
    private final LeaseTable leases = new LeaseTable();
    private final SuspicionTable suspicions = new SuspicionTable();
    private long appliedOffset;
    private Instant logTime = Instant.EPOCH;

    /**
     * Folds the record after the last one folded.
     *
     * @throws IllegalArgumentException if the entry is not the next one
     */
    public ApplyResult apply(LogEntry entry) {
        if (entry.offset() != appliedOffset + 1) {
            throw new IllegalArgumentException(
                    "expected offset " + (appliedOffset + 1) + ", not " + entry.offset());
        }
        // The checkpoint covers the state before its own record.
        Optional<ApplyResult> compared = compare(entry.record());
        appliedOffset = entry.offset();
        if (entry.appendTime().isAfter(logTime)) {
            logTime = entry.appendTime();
        }
        claims.prune(logTime);
        suspicions.prune(logTime);
        return compared.orElseGet(() -> fold(entry));
    }

    private Optional<ApplyResult> compare(LogRecord record) {
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

    private ApplyResult fold(LogEntry entry) {
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

    /** Returns the offset of the last record folded, 0 if none. */
    public long appliedOffset() {
        return appliedOffset;
    }

    /** Returns the latest append time folded. */
    public Instant logTime() {
        return logTime;
    }

    /** Returns an organisation. */
    public Optional<OrganisationState> organisation(OrganisationId organisation) {
        return organisations.organisation(organisation);
    }

    /**
     * Returns the organisation that has a caller key.
     *
     * @param keyDigest hexadecimal SHA-256 of the key
     */
    public Optional<OrganisationState> organisationByKeyDigest(String keyDigest) {
        return organisations.byKeyDigest(keyDigest);
    }

    /** Returns a view of all organisations, sorted by identifier. */
    public Collection<OrganisationState> organisations() {
        return organisations.organisations();
    }

    /** Returns the verdict on the first submission of a sheet, if it is among the recent ones. */
    public Optional<SheetVerdict> verdict(String digest) {
        return organisations.verdict(digest);
    }

    /** Returns the claim on a request. */
    public Optional<ClaimState> claim(ClaimKey key) {
        return claims.claim(key);
    }

    /** Returns whether a claim on the request would be refused because of its age. */
    public boolean isExpired(ClaimKey key) {
        return ClaimTable.isExpired(key, logTime);
    }

    /** Returns a view of the daemon roster, sorted by name. */
    public Collection<RosterMember> roster() {
        return roster.members();
    }

    /** Returns the member with a name, of any incarnation. */
    public Optional<RosterMember> rosterMember(String name) {
        return roster.member(name);
    }

    /** Returns the last lease on a resource, which may have expired. */
    public Optional<LeaseState> lease(String resource) {
        return leases.lease(resource);
    }

    /** Returns the suspicion against a fingerprint. */
    public Optional<Suspicion> suspicion(Fingerprint fingerprint) {
        return suspicions.suspicion(fingerprint);
    }

    /** Returns whether requests with the fingerprint are refused. */
    public boolean isQuarantined(Fingerprint fingerprint) {
        return suspicion(fingerprint)
                .filter(suspicion -> suspicion.losses() >= QUARANTINE_THRESHOLD)
                .isPresent();
    }

    /** Returns an immutable, sorted copy. */
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

    /** Replaces the whole state. */
    public void restore(SharedStateSnapshot snapshot) {
        appliedOffset = snapshot.appliedOffset();
        logTime = snapshot.logTime();
        organisations.restore(snapshot.organisations(), snapshot.verdicts());
        roster.restore(snapshot.roster());
        claims.restore(snapshot.claims());
        leases.restore(snapshot.leases());
        suspicions.restore(snapshot.suspicions());
    }

    /** Returns the hexadecimal SHA-256 of a snapshot's canonical form. */
    public static String digest(SharedStateSnapshot snapshot) {
        return SnapshotDigest.of(snapshot);
    }
}
