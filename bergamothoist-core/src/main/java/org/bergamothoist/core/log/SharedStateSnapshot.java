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
 * An immutable copy of the fold of the log up to an offset. Every list is sorted, so that equal
 * states have equal snapshots.
 *
 * @param appliedOffset offset of the last record folded, 0 if none
 * @param logTime append time of that record
 * @param verdicts verdicts of recent sheets, oldest first, bounded in number
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
     * A daemon of the roster.
     *
     * @param peerAddress IP address and port for other daemons, {@code host:port}
     * @param callerAddress IP address and port for callers, {@code host:port}
     * @param joinOffset offset of its join record
     * @param smallestRosterSizeSinceJoin smallest number of members since it joined; a lagging
     *     daemon may still use any roster since then, see the acceptance rule for sheets
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
     * @param offset offset of the claiming record
     * @param answered whether the outcome "answered" is recorded
     */
    public record ClaimState(
            LogRecord.ClaimKey key, DaemonId holder, long offset, boolean answered) {}

    /**
     * A lease.
     *
     * @param fencingNumber offset of the granting record
     * @param expiresAt end by the log's time
     */
    public record LeaseState(
            String resource, DaemonId holder, long fencingNumber, Instant expiresAt) {}

    /**
     * A fingerprint that was on lost engines.
     *
     * @param losses number of distinct engine incarnations lost with it
     * @param expiresAt end of the quarantine by the log's time
     * @param engines the lost incarnations, in the order of their reports; without them a repeated
     *     report would count twice after a restore
     */
    public record Suspicion(
            Fingerprint fingerprint, int losses, Instant expiresAt, List<LostEngine> engines) {

        public Suspicion {
            engines = List.copyOf(engines);
        }

        /** Creates a suspicion whose lost engines are not known. */
        public Suspicion(Fingerprint fingerprint, int losses, Instant expiresAt) {
            this(fingerprint, losses, expiresAt, List.of());
        }
    }

    /** An engine incarnation that was lost. */
    public record LostEngine(TargetId target, EngineIncarnation incarnation) {}
}
