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

/** The operations that a daemon offers to callers and operators. Thread-safe. */
public interface Router {

    /** Starts a completion; its events are passed to the listener. */
    StreamHandle complete(CompletionSubmission submission, CompletionListener listener);

    /** Resumes the interrupted stream of a completion. */
    StreamHandle resume(ResumeSubmission submission, CompletionListener listener);

    /** Calls a plain service. */
    StreamHandle callService(ServiceSubmission submission, ServiceResponseListener listener);

    /** Cancels a running request of the caller's organisation; returns whether it was found. */
    CompletionStage<Boolean> cancel(String callerKey, RequestId requestId);

    /**
     * Returns the addresses of the daemons that a caller should use, in order of preference.
     *
     * @param dataCentre the caller's data centre, if known
     * @param affinity text that related requests have in common, if any; it selects the same
     *     daemons
     */
    CompletionStage<DaemonAddresses> addresses(
            Optional<String> dataCentre, Optional<String> affinity);

    /**
     * Submits a sheet to the log and completes when its verdict is known here; repeating it is
     * harmless.
     */
    CompletionStage<SheetStatus> submitSheet(
            String office, String operator, List<OrganisationEntry> entries);

    /** Returns the status of a submitted sheet by its digest, or empty if the sheet is unknown. */
    CompletionStage<Optional<SheetStatus>> sheetStatus(String digest);

    /** Returns all organisations, as the accepted sheets define them. */
    CompletionStage<List<OrganisationState>> organisations();

    /** Returns a summary of the daemon's state. */
    CompletionStage<NodeStatus> status();

    /** Returns the buffered events after a timestamp. */
    List<Event> timeline(Timestamp after);

    /** Releases the requests with this fingerprint from quarantine. */
    CompletionStage<Void> releaseQuarantine(Fingerprint fingerprint, String operator);

    /** Starts the daemon; completes when it can serve. */
    CompletionStage<Void> start();

    /** Stops gracefully, letting running requests finish; completes when the process may exit. */
    CompletionStage<Void> stop();
}
