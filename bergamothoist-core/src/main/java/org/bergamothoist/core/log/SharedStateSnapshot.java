package org.bergamothoist.core.log;

import java.time.Instant;
import java.util.List;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.sheet.OrganisationState;
import org.bergamothoist.core.sheet.SheetVerdict;

/**
 * An immutable copy of {@link SharedState} at an offset. Every list is sorted, so that equal states
 * have equal snapshots.
 *
 * @param appliedOffset offset of the last record applied, 0 if none
 * @param logTime latest append time among the records applied
 * @param verdicts verdicts on recent sheets, oldest first, bounded in number
 */
public record SharedStateSnapshot(
        long appliedOffset,
        Instant logTime,
        List<OrganisationState> organisations,
        List<SheetVerdict> verdicts,
        List<RosterMember> roster,
        List<ClaimState> claims,
        List<LeaseState> leases,
        List<Suspicion> suspicions) {

    public SharedStateSnapshot {
        organisations = List.copyOf(organisations);
        verdicts = List.copyOf(verdicts);
        roster = List.copyOf(roster);
        claims = List.copyOf(claims);
        leases = List.copyOf(leases);
        suspicions = List.copyOf(suspicions);
    }

    /**
     * A daemon in the roster.
     *
     * @param peerAddress address that other daemons connect to, {@code host:port}
     * @param callerAddress address that callers connect to, {@code host:port}
     * @param joinOffset offset of the record by which it joined
     * @param smallestRosterSizeSinceJoin smallest number of members since it joined; a daemon that
     *     lags behind may still use any roster since its join to count a majority
     */
    public record RosterMember(
            DaemonId daemon,
            String virtualMachine,
            String peerAddress,
            String callerAddress,
            String dataCentre,
            long joinOffset,
            int smallestRosterSizeSinceJoin) {}

    /**
     * A claim on a non-idempotent request.
     *
     * @param offset offset of the record by which the claim was granted
     * @param answered whether the request is recorded as answered
     */
    public record ClaimState(
            LogRecord.ClaimKey key, DaemonId holder, long offset, boolean answered) {}

    /**
     * A lease on a resource.
     *
     * @param fencingNumber offset of the record by which the lease was granted; it increases with
     *     each grant, so that orders under an earlier lease can be rejected
     * @param expiresAt time of expiry by the log's time
     */
    public record LeaseState(
            String resource, DaemonId holder, long fencingNumber, Instant expiresAt) {}

    /**
     * The engine losses counted for a content fingerprint. Requests with this content were running
     * on the engines when these were lost.
     *
     * @param losses number of distinct engine incarnations that were lost
     * @param expiresAt time of expiry by the log's time
     * @param engines the lost incarnations in the order of their reports; kept in snapshots because
     *     a repeated report would otherwise be counted twice after a restore
     */
    public record Suspicion(
            Fingerprint fingerprint, int losses, Instant expiresAt, List<LostEngine> engines) {

        public Suspicion {
            engines = List.copyOf(engines);
        }

        /** Creates a suspicion whose lost engines are unknown. */
        public Suspicion(Fingerprint fingerprint, int losses, Instant expiresAt) {
            this(fingerprint, losses, expiresAt, List.of());
        }
    }

    /** An engine incarnation that was lost. */
    public record LostEngine(TargetId target, EngineIncarnation incarnation) {}
}
