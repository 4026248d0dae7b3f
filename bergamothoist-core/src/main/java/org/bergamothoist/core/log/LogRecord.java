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

/**
 * A record of the replicated log. The order of the records in the log is the only agreement between
 * daemons.
 */
public sealed interface LogRecord {

    /**
     * The submission of a sheet by an office.
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

    /**
     * Claims, releases and outcomes of non-idempotent requests, batched by one daemon.
     *
     * @param holder daemon that claims, releases or reports
     * @param claims requests that only this daemon may run if the claim is granted
     * @param releases claims that the daemon gives up because the request certainly did not run
     * @param outcomes outcomes of requests that the daemon had claimed
     */
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

    /** Identifies a claimed request. */
    record ClaimKey(OrganisationId organisation, RequestId requestId) {}

    /**
     * The outcome of a claimed request.
     *
     * @param answered whether the request was answered
     */
    record ClaimOutcome(ClaimKey key, boolean answered) {}

    /**
     * A daemon has started.
     *
     * @param peerAddress address that other daemons connect to, {@code host:port}
     * @param callerAddress address that callers connect to, {@code host:port}
     */
    record DaemonJoined(
            DaemonId daemon,
            String virtualMachine,
            String peerAddress,
            String callerAddress,
            String dataCentre)
            implements LogRecord {}

    /**
     * A daemon has stopped, or its VM is no longer in the platform's list.
     *
     * @param reportedBy the daemon that wrote the record
     */
    record DaemonLeft(DaemonId daemon, DaemonId reportedBy) implements LogRecord {}

    /** Requests a lease; granted unless another holder's lease on the resource is in force. */
    record LeaseRequest(String resource, DaemonId holder, Duration duration) implements LogRecord {}

    /** Releases a lease before it expires. */
    record LeaseRelease(String resource, DaemonId holder, long fencingNumber)
            implements LogRecord {}

    /**
     * An engine was lost while it was running requests.
     *
     * @param suspects content fingerprints of these requests
     */
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

    /** Clears suspected fingerprints: their requests completed, or an operator released them. */
    record QuarantineRelease(List<Fingerprint> fingerprints, String reason) implements LogRecord {
        public QuarantineRelease {
            fingerprints = List.copyOf(fingerprints);
        }
    }

    /**
     * The shared state up to an offset, from which a daemon can start when older records have
     * expired.
     *
     * @param digest hexadecimal SHA-256 of the state, see {@link SharedState#digest}
     */
    record Checkpoint(DaemonId writer, long coveredOffset, String digest, SharedStateSnapshot state)
            implements LogRecord {}

    /** A record that this version cannot decode; applying it has no effect. */
    record Unknown(String reason) implements LogRecord {}
}
