package org.bergamothoist.core.node;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.membership.DaemonAddresses;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.request.CompletionListener;
import org.bergamothoist.core.request.CompletionSubmission;
import org.bergamothoist.core.request.ResumeSubmission;
import org.bergamothoist.core.request.ServiceResponseListener;
import org.bergamothoist.core.request.ServiceSubmission;
import org.bergamothoist.core.request.StreamHandle;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.core.sheet.OrganisationState;
import org.bergamothoist.core.sheet.SheetStatus;
import org.bergamothoist.core.timeline.Event;
import org.bergamothoist.core.timeline.Timestamp;

/** What a daemon offers to callers and operators. Safe for use by several threads. */
public interface Router {

    /** Runs a completion. */
    StreamHandle complete(CompletionSubmission submission, CompletionListener listener);

    /** Resumes the stream of a completion. */
    StreamHandle resume(ResumeSubmission submission, CompletionListener listener);

    /** Calls a plain service. */
    StreamHandle callService(ServiceSubmission submission, ServiceResponseListener listener);

    /** Cancels a running request of the key's organisation; returns whether it was found. */
    CompletionStage<Boolean> cancel(String callerKey, RequestId requestId);

    /**
     * Returns the addresses that a caller should use.
     *
     * @param dataCentre the caller's data centre, if known
     * @param affinity text that related requests share, if any
     */
    CompletionStage<DaemonAddresses> addresses(
            Optional<String> dataCentre, Optional<String> affinity);

    /**
     * Submits a sheet to the log and completes when its verdict is known here; repeating it is
     * harmless.
     */
    CompletionStage<SheetStatus> submitSheet(
            String office, String operator, List<OrganisationEntry> entries);

    /** Returns verdict and reach of a submitted sheet, by digest; empty if it is unknown. */
    CompletionStage<Optional<SheetStatus>> sheetStatus(String digest);

    /** Returns all organisations as the accepted sheets have them. */
    CompletionStage<List<OrganisationState>> organisations();

    /** Returns a summary of the daemon's state. */
    CompletionStage<NodeStatus> status();

    /** Returns buffered events after a stamp. */
    List<Event> timeline(Timestamp after);

    /** Ends the quarantine of a fingerprint. */
    CompletionStage<Void> releaseQuarantine(Fingerprint fingerprint, String operator);

    /** Starts; completes when the daemon can serve. */
    CompletionStage<Void> start();

    /** Stops without cutting requests; completes when the process may exit. */
    CompletionStage<Void> stop();
}
