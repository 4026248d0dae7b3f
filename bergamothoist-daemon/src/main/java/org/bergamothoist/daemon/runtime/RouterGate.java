package org.bergamothoist.daemon.runtime;

import jakarta.inject.Inject;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.membership.DaemonAddresses;
import org.bergamothoist.core.node.NodeStatus;
import org.bergamothoist.core.node.Router;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.request.CompletionListener;
import org.bergamothoist.core.request.CompletionSubmission;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.request.ResumeSubmission;
import org.bergamothoist.core.request.ServiceResponseListener;
import org.bergamothoist.core.request.ServiceSubmission;
import org.bergamothoist.core.request.StreamHandle;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.core.sheet.OrganisationState;
import org.bergamothoist.core.sheet.SheetStatus;
import org.bergamothoist.core.timeline.Event;
import org.bergamothoist.core.timeline.Timestamp;

/**
 * Stands in for the router until it exists. The router needs the bound ports, and those are known
 * only once the HTTP interface listens; requests in between are refused as not run.
 */
public final class RouterGate implements Router {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final StreamHandle ENDED =
            new StreamHandle() {
                @Override
                public void request(int pieces) {
                    // Nothing follows a refusal.
                }

                @Override
                public void cancel() {
                    // Nothing runs.
                }
            };

    private final InstantSource clock;
    private volatile Router router;

    /** Creates a closed gate. */
    @Inject
    public RouterGate(InstantSource clock) {
        this.clock = clock;
    }

    /** Passes everything on to the router from now on. */
    public void open(Router opened) {
        router = opened;
    }

    @Override
    public StreamHandle complete(CompletionSubmission submission, CompletionListener listener) {
        Router opened = router;
        if (opened == null) {
            listener.onOutcome(idOf(submission.requestId()), refusal());
            return ENDED;
        }
        return opened.complete(submission, listener);
    }

    @Override
    public StreamHandle resume(ResumeSubmission submission, CompletionListener listener) {
        Router opened = router;
        if (opened == null) {
            listener.onOutcome(
                    idOf(submission.original().requestId()),
                    new Outcome.Unknown(ErrorCode.NOT_READY, "daemon is starting"));
            return ENDED;
        }
        return opened.resume(submission, listener);
    }

    @Override
    public StreamHandle callService(
            ServiceSubmission submission, ServiceResponseListener listener) {
        Router opened = router;
        if (opened == null) {
            listener.onOutcome(idOf(submission.requestId()), refusal());
            return ENDED;
        }
        return opened.callService(submission, listener);
    }

    @Override
    public CompletionStage<Boolean> cancel(String callerKey, RequestId requestId) {
        return ask(opened -> opened.cancel(callerKey, requestId));
    }

    @Override
    public CompletionStage<DaemonAddresses> addresses(
            Optional<String> dataCentre, Optional<String> affinity) {
        return ask(opened -> opened.addresses(dataCentre, affinity));
    }

    @Override
    public CompletionStage<SheetStatus> submitSheet(
            String office, String operator, List<OrganisationEntry> entries) {
        return ask(opened -> opened.submitSheet(office, operator, entries));
    }

    @Override
    public CompletionStage<Optional<SheetStatus>> sheetStatus(String digest) {
        return ask(opened -> opened.sheetStatus(digest));
    }

    @Override
    public CompletionStage<List<OrganisationState>> organisations() {
        return ask(Router::organisations);
    }

    @Override
    public CompletionStage<NodeStatus> status() {
        return ask(Router::status);
    }

    @Override
    public List<Event> timeline(Timestamp after) {
        Router opened = router;
        return opened == null ? List.of() : opened.timeline(after);
    }

    @Override
    public CompletionStage<Void> releaseQuarantine(Fingerprint fingerprint, String operator) {
        return ask(opened -> opened.releaseQuarantine(fingerprint, operator));
    }

    @Override
    public CompletionStage<Void> start() {
        return ask(Router::start);
    }

    @Override
    public CompletionStage<Void> stop() {
        Router opened = router;
        return opened == null ? CompletableFuture.completedStage(null) : opened.stop();
    }

    private <T> CompletionStage<T> ask(Function<Router, CompletionStage<T>> question) {
        Router opened = router;
        if (opened == null) {
            return CompletableFuture.failedStage(
                    new BergamothoistException(ErrorCode.NOT_READY, "daemon is starting"));
        }
        return question.apply(opened);
    }

    private static Outcome refusal() {
        return new Outcome.NotRun(ErrorCode.NOT_READY, "daemon is starting", RETRY_AFTER);
    }

    private RequestId idOf(Optional<RequestId> requestId) {
        return requestId.orElseGet(
                () -> RequestId.create(clock.instant(), ThreadLocalRandom.current()));
    }
}
