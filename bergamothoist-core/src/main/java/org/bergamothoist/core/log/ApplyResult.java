package org.bergamothoist.core.log;

import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.log.LogRecord.ClaimKey;
import org.bergamothoist.core.log.SharedStateSnapshot.ClaimState;
import org.bergamothoist.core.log.SharedStateSnapshot.LeaseState;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;
import org.bergamothoist.core.log.SharedStateSnapshot.Suspicion;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.sheet.SheetVerdict;

/** The effect of applying one log record to {@link SharedState}. */
public sealed interface ApplyResult {

    /**
     * A sheet was accepted, refused or detected as a duplicate of an earlier submission.
     *
     * @param changed organisations whose content changed; empty for a refusal or a duplicate
     */
    record SheetDecided(SheetVerdict verdict, List<OrganisationId> changed) implements ApplyResult {
        public SheetDecided {
            changed = List.copyOf(changed);
        }
    }

    /**
     * The claims of a batch were granted or refused.
     *
     * @param released claims that their holder released
     * @param answered claims whose request is now recorded as answered
     */
    record ClaimsDecided(
            UUID batchId,
            DaemonId holder,
            List<ClaimState> granted,
            List<RefusedClaim> refused,
            List<ClaimKey> released,
            List<ClaimKey> answered)
            implements ApplyResult {
        public ClaimsDecided {
            granted = List.copyOf(granted);
            refused = List.copyOf(refused);
            released = List.copyOf(released);
            answered = List.copyOf(answered);
        }
    }

    /**
     * A claim that was refused.
     *
     * @param existing the claim that is held already; empty if the request identifier is too old
     */
    record RefusedClaim(ClaimKey key, Optional<ClaimState> existing) {}

    /**
     * A requested lease was granted or refused.
     *
     * @param current the lease in force after the request; the requester holds it if granted
     */
    record LeaseDecided(LogRecord.LeaseRequest request, boolean granted, LeaseState current)
            implements ApplyResult {}

    /** A lease was released by its holder before it expired. */
    record LeaseEnded(LeaseState lease) implements ApplyResult {}

    /**
     * The daemon roster changed.
     *
     * @param joined the new member, if any
     * @param left members that left or were replaced by the new one
     */
    record RosterChanged(Optional<RosterMember> joined, List<RosterMember> left)
            implements ApplyResult {
        public RosterChanged {
            left = List.copyOf(left);
        }
    }

    /**
     * Suspicions were raised by an engine loss or cleared.
     *
     * @param counted suspicions whose number of losses increased
     * @param cleared fingerprints that are no longer suspected
     */
    record SuspicionsChanged(List<Suspicion> counted, List<Fingerprint> cleared)
            implements ApplyResult {
        public SuspicionsChanged {
            counted = List.copyOf(counted);
            cleared = List.copyOf(cleared);
        }
    }

    /** A checkpoint was read from the log; it does not change the state. */
    record CheckpointSeen(LogRecord.Checkpoint checkpoint, Comparison comparison)
            implements ApplyResult {}

    /** The record had no effect. */
    record Unchanged() implements ApplyResult {}

    /** The result of comparing a checkpoint with the local state. */
    enum Comparison {
        /** The digests of both states are equal. */
        MATCHES,
        /** The digests differ: one of the two daemons applied the log incorrectly. */
        DIFFERS,
        /** The local state is at another offset than the one covered by the checkpoint. */
        NOT_COMPARED
    }
}
