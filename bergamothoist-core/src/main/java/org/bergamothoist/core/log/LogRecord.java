package org.bergamothoist.core.log;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.UUID;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.sheet.OrganisationEntry;

/** A record of the log. The order of records is the only agreement between daemons. */
public sealed interface LogRecord {

    /**
     * A sheet that an office submits.
     *
     * @param digest hexadecimal SHA-256 of the sheet's normalised content
     * @param office name of the submitting office
     * @param operator name of the submitting operator
     */
    record SheetSubmission(
            String digest, String office, String operator, List<OrganisationEntry> entries)
            implements LogRecord {
        public SheetSubmission {
            Objects.requireNonNull(digest);
            entries = List.copyOf(entries);
        }
    }

    /** Claims, releases and outcomes of non-idempotent requests, batched by one daemon. */
    record ClaimBatch(
            UUID batchId,
            DaemonId holder,
            List<ClaimKey> claims,
            List<ClaimKey> releases,
            List<ClaimOutcome> outcomes)
            implements LogRecord {
        public ClaimBatch {
            claims = List.copyOf(claims);
            releases = List.copyOf(releases);
            outcomes = List.copyOf(outcomes);
        }
    }

    /** Names a claimed request. */
    record ClaimKey(OrganisationId organisation, RequestId requestId) {}

    /** How a claimed request ended. */
    record ClaimOutcome(ClaimKey key, boolean answered) {}

    /**
     * A daemon has started.
     *
     * @param peerAddress IP address and port for other daemons, {@code host:port}
     * @param callerAddress IP address and port for callers, {@code host:port}
     */
    record DaemonJoined(
            DaemonId daemon,
            String virtualMachine,
            String peerAddress,
            String callerAddress,
            String dataCentre)
            implements LogRecord {}

    /**
     * A daemon has stopped, or its VM is gone from the platform's list.
     *
     * @param reportedBy the daemon that wrote the record
     */
    record DaemonLeft(DaemonId daemon, DaemonId reportedBy) implements LogRecord {}

    /** Asks for a lease; granted if no other holder's lease on the resource is in force. */
    record LeaseRequest(String resource, DaemonId holder, Duration duration) implements LogRecord {}

    /** Ends a lease early. */
    record LeaseRelease(String resource, DaemonId holder, long fencingNumber)
            implements LogRecord {}

    /** An engine was lost while it ran requests with these fingerprints. */
    record LossReport(
            TargetId target,
            EngineIncarnation incarnation,
            DaemonId reportedBy,
            List<Fingerprint> suspects)
            implements LogRecord {
        public LossReport {
            suspects = List.copyOf(suspects);
        }
    }

    /** Clears fingerprints of suspicion, because they completed or an operator released them. */
    record QuarantineRelease(List<Fingerprint> fingerprints, String reason) implements LogRecord {
        public QuarantineRelease {
            fingerprints = List.copyOf(fingerprints);
        }
    }

    /** The fold of all records up to an offset, so that older records may expire. */
    record Checkpoint(DaemonId writer, long coveredOffset, String digest, SharedStateSnapshot state)
            implements LogRecord {}

    /** A record that this version cannot decode; the fold skips it. */
    record Unknown(String reason) implements LogRecord {}
}
