package org.bergamothoist.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.quarantine.BrokenRequest;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.quarantine.RequestKeys;
import org.bergamothoist.core.relay.AttemptFailure;
import org.bergamothoist.core.route.RequestKind;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.buffer.HeldBytes;
import org.bergamothoist.gateway.wire.EndToEndHeaders;
import org.bergamothoist.gateway.wire.ForwardingMetadata;

/**
 * One request of a caller, from its arrival to the end of its response. Confined to the event loop.
 *
 * <p>Ends exactly once: with a target's response, with an error response of the relay, or with a
 * closed connection. A response that states that the request was not run is sent only if no attempt
 * may have run it.
 */
final class Exchange implements Takeover.Request {

    private final ExchangeDependencies dependencies;
    private final RequestContext request;
    private final TargetRequest targetRequest;
    private final CallerResponseWriter caller;
    private final ResponseRelay relay;
    private final HeldBytes.Account bodyBytes;
    private final HeldBytes.Account eventBytes;
    private final ExchangeLog log;
    private final SilenceTimer silenceTimer;
    private final TargetWait targetWait;
    private final TargetChoice targets;
    private final RequestRetries retries;
    private final AdmissionWait admission;
    private final RequestAttempts attempts;
    private final Takeover takeover;
    private ByteBuf body;
    private boolean bodyAnnounced;
    private String service;
    private RequestFingerprints fingerprints;
    private Scheduler.Cancellable deadlineTimer = () -> {};
    private boolean retryReserved;
    private Duration timeToFirstByte;
    private boolean ended;

    Exchange(
            ExchangeDependencies dependencies,
            RequestContext request,
            HttpHeaders callerHeaders,
            CallerResponseWriter caller) {
        this.dependencies = dependencies;
        this.request = request;
        this.caller = caller;
        this.targetRequest =
                new TargetRequest(
                        request,
                        EndToEndHeaders.of(callerHeaders, dependencies.dialect()::isNeverHopByHop),
                        dependencies.dialect());
        String requestId = request.head().requestId();
        this.bodyBytes = dependencies.heldBytes().open(requestId, this::refuseForMemory);
        this.eventBytes = dependencies.heldBytes().open(requestId, this::onEventRefused);
        this.relay = new ResponseRelay(dependencies.dialect(), caller, eventBytes);
        this.log = new ExchangeLog(dependencies, request);
        this.attempts = new RequestAttempts(log);
        this.silenceTimer =
                new SilenceTimer(
                        request,
                        relay,
                        this::hasTargetSentBytesWithin,
                        this::onTargetSilent,
                        dependencies.scheduler());
        this.targets = new TargetChoice(dependencies, request, relay, this::keys);
        this.retries = new RequestRetries(dependencies, request, relay, this::keys);
        this.targetWait = new TargetWait(dependencies.scheduler(), dependencies.clock());
        this.takeover =
                new Takeover(
                        this,
                        selection -> new Attempt(dependencies, selection, this),
                        attempts,
                        targets,
                        relay,
                        silenceTimer,
                        new TargetWait(dependencies.scheduler(), dependencies.clock()),
                        log,
                        dependencies.scheduler());
        this.admission = new AdmissionWait(dependencies, request, this::sendToTarget, this::refuse);
    }

    /**
     * Applies the filters and starts the deadline timer if the request passes them all; returns
     * whether it does.
     */
    boolean applyFilters() {
        dependencies.metrics().countRequest();
        for (PreDispatchFilter filter : dependencies.filters()) {
            Optional<ErrorResponse> error = filter.check(request);
            if (error.isPresent()) {
                refuse(error.get());
                return false;
            }
        }
        Duration timeLeft =
                Duration.between(dependencies.clock().instant(), request.responseDeadline());
        deadlineTimer = dependencies.scheduler().schedule(timeLeft, this::onDeadline);
        return true;
    }

    private void refuse(ErrorResponse error) {
        ended = true;
        request.settleQuota(attempts);
        deadlineTimer.cancel();
        admission.onEnded();
        releaseBody();
        log.refused(error);
        dependencies.metrics().countEndedRequest("refused");
        ErrorResponseSender.send(caller, error);
    }

    /**
     * Counts the bytes of the body that have been received; refuses the request and returns false
     * if there is no memory for them.
     */
    boolean holdBody(long bytes) {
        boolean held = bodyBytes.update(bytes);
        if (!held) {
            refuseForMemory();
        }
        return held;
    }

    private void refuseForMemory() {
        if (ended) {
            return;
        }
        refuse(ErrorResponse.outOfMemory(dependencies.random()));
    }

    private void onEventRefused() {
        if (!ended && attempts.hasCurrent()) {
            attempts.current().endOversizedEvent();
        }
    }

    /**
     * Sends the request to a target once its body is complete.
     *
     * @param completeBody the body; this object releases it
     * @param announced whether the request headers announced a body, possibly an empty one
     */
    void dispatch(ByteBuf completeBody, boolean announced) {
        body = completeBody;
        bodyAnnounced = announced;
        if (!dependencies.admission().isQueueing()) {
            bodyBytes.keep();
        }
        if (ended) {
            releaseBody();
            return;
        }
        service = dependencies.targetSelector().selectService(request);
        fingerprints = new RequestFingerprints(request, service, body);
        Optional<ErrorResponse> refusal = dependencies.crashingContents().refusal(this::keys);
        if (refusal.isPresent()) {
            dependencies.metrics().countQuarantined();
            refuse(refusal.get());
            return;
        }
        dependencies.retryPolicy().onRequest(service);
        admission.submit(service);
    }

    private Duration timeLeft() {
        return Duration.between(dependencies.clock().instant(), request.responseDeadline());
    }

    /**
     * Sends the request to a target that passes the test, or ends it if there is no target. Returns
     * false, without effect, if the target does not pass.
     */
    private boolean sendToTarget(Predicate<TargetSelector.Selection> hasRoom) {
        Optional<TargetSelector.Selection> chosen = targets.choose(service, timeLeft());
        if (chosen.isEmpty()) {
            if (!awaitTarget()) {
                fail("no target accepts the request", ErrorCode.NO_TARGET);
            }
            return true;
        }
        TargetSelector.Selection selection = chosen.get();
        if (isRefusedForStop(selection.target().id())) {
            fail("the daemon stops before the request could end", ErrorCode.STOPPING);
            return true;
        }
        if (!hasRoom.test(selection)) {
            return false;
        }
        bodyBytes.keep();
        admission.onSending(selection);
        Attempt attempt = new Attempt(dependencies, selection, this);
        attempts.begin(attempt);
        start(attempt, selection);
        silenceTimer.restart();
        return true;
    }

    @Override
    public void start(Attempt started, TargetSelector.Selection selection) {
        request.chargeNextRun(attempts.history());
        dependencies.metrics().countAttempt();
        log.dispatched(selection, timeLeft());
        started.start(targetRequest(selection.forwarding()), body.retainedDuplicate());
    }

    /** Sends the request again, whatever the load. */
    private void sendAgain() {
        sendToTarget(selection -> true);
    }

    /**
     * Looks for a target again soon, also among those tried before, if a stream has started that a
     * target may go on with. Returns false if none was found for too long.
     */
    private boolean awaitTarget() {
        boolean resumable = relay.isStarted() && relay.isResumable() && !retries.isRefused();
        if (!resumable || !targetWait.schedule(this::sendUnlessEnded)) {
            return false;
        }
        targets.forgetTried();
        return true;
    }

    private void sendUnlessEnded() {
        if (!ended) {
            sendAgain();
        }
    }

    /**
     * Returns whether a request that is sent to a target now ends, with its answer or at its
     * deadline, before a daemon that is stopping ends whatever is in progress.
     */
    private boolean canEndBeforeStop(String target) {
        return dependencies.stopDeadline().canEnd(request.route().name(), target, timeLeft());
    }

    /**
     * Returns whether the request is refused because it may not end before the stop. One that may
     * have run cannot be refused as not run, so that another attempt is its best chance.
     */
    boolean isRefusedForStop(String target) {
        return !relay.isStarted()
                && attempts.history().certainlyNotRun()
                && !canEndBeforeStop(target);
    }

    /** Refuses the request, whose body is not complete, if it could not end before the stop. */
    void refuseIfStoppingTooSoon() {
        if (!canEndBeforeStop("")) {
            fail("the daemon stops before the request could end", ErrorCode.STOPPING);
        }
    }

    private HttpRequest targetRequest(ForwardingMetadata forwarding) {
        return bodyAnnounced || body.isReadable()
                ? targetRequest.head(forwarding, body.readableBytes())
                : targetRequest.head(forwarding);
    }

    /** Notes that the caller was sent further events of a stream. */
    void onEventsRelayed() {
        takeover.onProgress();
        targetWait.end();
        silenceTimer.restart();
    }

    void stopSilenceTimer() {
        silenceTimer.stop();
    }

    private boolean hasTargetSentBytesWithin(Duration period) {
        return attempts.hasCurrent() && attempts.current().hasTargetSentBytesWithin(period);
    }

    private void onTargetSilent() {
        takeover.onTargetSilent();
    }

    @Override
    public Optional<TargetSelector.Selection> chooseOther(Attempt replaced) {
        return targets.chooseOther(service, replaced.targetId(), timeLeft())
                .filter(other -> canEndBeforeStop(other.target().id()));
    }

    /**
     * Continues a resumable stream at another target, because its target is about to pause. The
     * stream stays where it is if no other target would take it, or if this daemon is stopping: the
     * target ends its runs before it pauses, and this daemon ends before that makes it late.
     */
    void migrate(Attempt migrating) {
        boolean migratable =
                !ended
                        && attempts.current() == migrating
                        && !attempts.hasSuccessor()
                        && request.route().kind() == RequestKind.RESUMABLE_STREAM
                        && !dependencies.stopDeadline().isStopping()
                        && targets.hasOther(service, migrating.targetId(), timeLeft());
        if (migratable && tryRetry(AttemptFailure.MOVED_AWAY)) {
            migrating.abandon();
            resend(migrating, AttemptFailure.MOVED_AWAY);
        }
    }

    @Override
    public boolean tryRetry(AttemptFailure failure) {
        return retries.tryRetry(service, attempts.history(), timeLeft(), failure);
    }

    private void resend(Attempt failed, AttemptFailure failure) {
        attempts.fail(failure);
        targets.addTried(failed.targetId());
        relay.discardIncompleteEvent();
        sendAgain();
    }

    /** Records the time to the first byte of the response, once for each request. */
    void onFirstByte() {
        if (timeToFirstByte == null) {
            timeToFirstByte = Duration.between(request.arrivedAt(), dependencies.clock().instant());
            dependencies.metrics().recordTimeToFirstByte(timeToFirstByte);
        }
    }

    Takeover takeover() {
        return takeover;
    }

    ResponseRelay relay() {
        return relay;
    }

    RequestContext request() {
        return request;
    }

    /**
     * Returns the fingerprints of the request's content and of the parts of its prompt. The first
     * use must follow the choice of the service and precede the end of the exchange.
     */
    RequestKeys keys() {
        return fingerprints.keys();
    }

    /** Returns the fingerprints of the parts of the prompt that other requests may share. */
    Set<Fingerprint> parts() {
        return fingerprints.parts();
    }

    /**
     * Handles a connection that the target broke off before its answer was complete, possibly
     * because its process ended.
     */
    void onConnectionBroken(
            TargetSelector.Selection selection,
            Attempt failed,
            Instant sentAt,
            AttemptFailure failure,
            String detail) {
        if (ended) {
            return;
        }
        silenceTimer.stop();
        dependencies
                .crashingContents()
                .onConnectionBroken(
                        selection,
                        runSince(sentAt),
                        () -> onAttemptFailed(failed, failure, detail));
    }

    private BrokenRequest runSince(Instant sentAt) {
        return new BrokenRequest(
                keys(),
                request.describeOrigin(),
                Duration.between(sentAt, dependencies.clock().instant()));
    }

    /** Retries a failed attempt, or ends the request with an error. */
    void onAttemptFailed(Attempt failed, AttemptFailure failure, String detail) {
        if (ended || !attempts.isInProgress(failed)) {
            return;
        }
        boolean reserved = retryReserved;
        retryReserved = false;
        if (takeover.continueWithout(failed, failure)) {
            return;
        }
        silenceTimer.stop();
        if (reserved || tryRetry(failure)) {
            resend(failed, failure);
            return;
        }
        attempts.fail(failure);
        if (failure == AttemptFailure.REFUSED
                && relay.isResumable()
                && dependencies.retryPolicy().tryResume(service)
                && awaitTarget()) {
            relay.discardIncompleteEvent();
            return;
        }
        ErrorCode code =
                retries.isRefused() ? ErrorCode.REQUEST_QUARANTINED : ErrorCode.TARGET_FAILED;
        fail(failure + " at " + failed.targetId() + ": " + detail, code);
    }

    /**
     * Takes a retry from the retry budget after an error response of the target. Returns false if
     * the request cannot be retried, or at no other target; the response is then relayed.
     */
    boolean reserveRetry(Attempt failing) {
        if (attempts.hasSuccessor()) {
            return true;
        }
        retryReserved =
                !relay.isStarted()
                        && chooseOther(failing).isPresent()
                        && tryRetry(AttemptFailure.SERVER_ERROR);
        return retryReserved;
    }

    /** Sends an error response, or closes the connection if a response has already started. */
    private void fail(String reason, ErrorCode code) {
        request.progress().onError(code);
        if (relay.isStarted()) {
            end("broken", reason);
            caller.abort();
            return;
        }
        boolean notRun = attempts.history().certainlyNotRun();
        sendError(ErrorResponse.failed(notRun, code, reason, dependencies.random()));
    }

    private void sendError(ErrorResponse error) {
        end(String.valueOf(error.status()), error.reason());
        ErrorResponseSender.send(caller, error);
    }

    private void onDeadline() {
        if (ended) {
            return;
        }
        request.progress().onError(ErrorCode.DEADLINE_EXCEEDED);
        attempts.abandon();
        boolean wasSent = attempts.hasCurrent() && attempts.current().wasSent();
        if (attempts.hasCurrent()) {
            attempts.current().recordFailure(AttemptFailure.NO_ANSWER, "timeout");
        }
        if (relay.isStarted()) {
            end(
                    "timeout-broken",
                    "timeout after "
                            + request.route().timeout().toMillis()
                            + " ms "
                            + relay.statusAndBytes());
            caller.abort();
            return;
        }
        boolean notRun = attempts.history().certainlyNotRun() && !wasSent;
        if (wasSent) {
            attempts.fail(AttemptFailure.NO_ANSWER);
        }
        sendError(ErrorResponse.deadlinePassed(notRun));
    }

    /**
     * Ends the exchange after the complete response was relayed.
     *
     * @param successful whether it shows that a target can run the request
     */
    void onComplete(boolean successful) {
        if (successful) {
            dependencies.crashingContents().onCompleted(this::keys, parts());
        }
        endAnswered();
    }

    /**
     * Handles a response whose end was that of its connection. The end is passed on only if it is
     * known that the target has not broken the response off.
     */
    void onAnswerEndedByClose(
            TargetSelector.Selection selection,
            Attempt answered,
            Instant sentAt,
            boolean successful) {
        silenceTimer.stop();
        AnswerEndConfirmation.await(
                dependencies,
                selection,
                runSince(sentAt),
                new AnswerEndConfirmation.Answer(
                        request.head().requestId(), successful, answered.connection()),
                whole -> onEndChecked(answered, whole));
    }

    private void onEndChecked(Attempt answered, boolean whole) {
        if (ended || attempts.current() != answered) {
            return;
        }
        if (whole) {
            answered.finishAnswer();
            endAnswered();
            return;
        }
        String detail = "nothing shows that the target has ended its answer and taken the request";
        answered.recordFailure(AttemptFailure.BROKEN_STREAM, detail);
        onAttemptFailed(answered, AttemptFailure.BROKEN_STREAM, detail);
    }

    private void endAnswered() {
        admission.onAnswered();
        dependencies
                .metrics()
                .recordTimeToCompletion(
                        Duration.between(request.arrivedAt(), dependencies.clock().instant()));
        end("answered", relay.statusAndBytes());
    }

    private void end(String outcome, String detail) {
        attempts.dropSuccessor();
        ended = true;
        deadlineTimer.cancel();
        silenceTimer.stop();
        admission.onEnded();
        request.settleQuota(attempts);
        attempts.end();
        releaseBody();
        dependencies.metrics().countEndedRequest(outcome);
        log.ended(outcome, detail, attempts.history(), timeToFirstByte);
    }

    /** Stops the target's work when the caller's connection ends. */
    void onCallerDisconnected(Disconnection reason) {
        if (ended) {
            return;
        }
        attempts.abandon();
        end(reason.outcome(), reason.detail());
    }

    /** Resumes reading the target's response when the caller's connection accepts bytes again. */
    void onCallerWritable() {
        if (attempts.hasCurrent()) {
            attempts.current().setReading(true);
        }
    }

    @Override
    public boolean isEnded() {
        return ended;
    }

    private void releaseBody() {
        bodyBytes.release();
        eventBytes.release();
        if (body != null) {
            body.release();
            body = null;
        }
    }
}
