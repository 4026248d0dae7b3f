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

/** What one record changed in the shared state. */
public sealed interface ApplyResult {

    /**
     * A sheet was accepted, refused or recognised as a repeat.
     *
     * @param changed organisations that now have another content; empty for a refusal or a repeat
     */
    record SheetDecided(SheetVerdict verdict, List<OrganisationId> changed) implements ApplyResult {
        public SheetDecided {
            changed = List.copyOf(changed);
        }
    }

    /**
     * A batch of claims was decided.
     *
     * @param released claims that the holder gave back
     * @param answered claims whose outcome is now recorded as answered
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
     * A claim that was not granted.
     *
     * @param existing the claim in force; empty if the request identifier is too old
     */
    record RefusedClaim(ClaimKey key, Optional<ClaimState> existing) {}

    /**
     * A lease was requested.
     *
     * @param current the lease in force after the request, of the requester if granted
     */
    record LeaseDecided(LogRecord.LeaseRequest request, boolean granted, LeaseState current)
            implements ApplyResult {}

    /** A lease was ended early by its holder. */
    record LeaseEnded(LeaseState lease) implements ApplyResult {}

    /** Daemons joined or left the roster. */
    record RosterChanged(Optional<RosterMember> joined, List<RosterMember> left)
            implements ApplyResult {
        public RosterChanged {
            left = List.copyOf(left);
        }
    }

    /** Fingerprints were counted on a lost engine, or cleared. */
    record SuspicionsChanged(List<Suspicion> counted, List<Fingerprint> cleared)
            implements ApplyResult {
        public SuspicionsChanged {
            counted = List.copyOf(counted);
            cleared = List.copyOf(cleared);
        }
    }

    /** A checkpoint passed by. */
    record CheckpointSeen(LogRecord.Checkpoint checkpoint, Comparison comparison)
            implements ApplyResult {}

    /** The record changed nothing. */
    record Unchanged() implements ApplyResult {}

    /** How a checkpoint compares with the own state. */
    enum Comparison {
        /** Both states have the same digest. */
        MATCHES,
        /** The states differ, so that one of the two folds is wrong. */
        DIFFERS,
        /** Further records were folded after the covered offset, so there is nothing to compare. */
        NOT_COMPARED
    }
}
