package org.bergamothoist.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.fleet.CrossingRule;
import org.bergamothoist.core.fleet.TargetState;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.relay.AttemptFailure;
import org.bergamothoist.gateway.client.AnswerListener;
import org.bergamothoist.gateway.client.AnswerMatch;
import org.bergamothoist.gateway.client.ClientConnection;
import org.bergamothoist.gateway.client.Destination;
import org.bergamothoist.gateway.wire.ResponseHead;

/** One attempt to run a request on one target. Confined to the event loop. */
final class Attempt implements AnswerListener {

    /** Size of a rejected response's body, in bytes, up to which its connection is kept. */
    private static final int MAXIMUM_DISCARDED_BYTES = 64 << 10;

    /** Time for which an answer must go on to show that its request crashes no target. */
    private static final Duration HARMLESS_ANSWER_TIME = Duration.ofSeconds(1);

    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int FIRST_SERVER_ERROR = 500;

    private final ExchangeDependencies dependencies;
    private final TargetSelector.Selection selection;
    private final Exchange exchange;
    private final EngineSample engineSample;
    private final TargetAnswer answer;
    private ClientConnection connection;
    private Instant sentAt;
    private CrossingRule.Dispatch dispatch;
    private boolean abandoned;
    private boolean ended;
    private boolean prefillComplete;
    private boolean successful;
    private boolean provenHarmless;
    private boolean silenceRecorded;
    private Instant firstByteAt;
    private long discardedBytes;
    private AttemptFailure rejection;
    private String rejectionDetail;

    /** Content and parts of the request that were suspect when the attempt started. */
    private List<Fingerprint> suspects = List.of();

    Attempt(
            ExchangeDependencies dependencies,
            TargetSelector.Selection selection,
            Exchange exchange) {
        this.dependencies = dependencies;
        this.selection = selection;
        this.exchange = exchange;
        this.engineSample = new EngineSample(dependencies, selection, exchange.request());
        this.answer = new TargetAnswer(selection.target().id());
    }

    String targetId() {
        return selection.target().id();
    }

    String service() {
        return selection.target().service();
    }

    TargetState targetState() {
        return selection.state();
    }

    private AnswerMatch answerMatch() {
        return AnswerMatch.byIdentifier(exchange.request().head().requestId());
    }

    void start(HttpRequest head, ByteBuf body) {
        engineSample.onStarted();
        exchange.request().progress().onLatest(answer);
        suspects = dependencies.crashingContents().onStarted(targetId(), exchange::keys);
        dependencies.activeAttempts().add(this);
        dependencies.livenessChecker().onRequest(selection.target());
        dependencies
                .targetConnections()
                .acquire(
                        new Destination(selection.target().address(), targetId(), answerMatch()),
                        (opened, failure) -> onConnected(opened, failure, head, body));
    }

    private void onConnected(
            ClientConnection opened, Throwable failure, HttpRequest head, ByteBuf body) {
        if (abandoned) {
            body.release();
            if (opened != null) {
                opened.abort();
            }
            return;
        }
        if (opened == null) {
            body.release();
            targetState().health().onUnreachable(dependencies.clock().instant());
            fail(AttemptFailure.NOT_SENT, "" + failure);
            return;
        }
        if (exchange.isRefusedForStop(targetId())) {
            body.release();
            opened.abort();
            fail(AttemptFailure.NOT_SENT, "the daemon stops before the request could end");
            return;
        }
        connection = opened;
        sentAt = dependencies.clock().instant();
        dispatch =
                dependencies
                        .crossing()
                        .onSent(
                                selection.target(),
                                body.readableBytes(),
                                selection.prefillTokens());
        engineSample.onSent(sentAt);
        answer.onSent(sentAt);
        opened.send(head, body, answerMatch(), this);
        exchange.takeover().onSent(this);
    }

    /**
     * Returns whether the target recently sent bytes of any response. If it did, a request without
     * a response is probably only queued there.
     */
    boolean hasTargetSentBytesWithin(Duration period) {
        return targetState().hasReceivedBytesSince(dependencies.clock().instant().minus(period));
    }

    ClientConnection connection() {
        return connection;
    }

    boolean wasSent() {
        return sentAt != null;
    }

    void setReading(boolean reading) {
        if (connection != null) {
            connection.setReading(reading);
            answer.onReading(reading);
        }
    }

    /**
     * Closes the connection, which stops the target's work, and reports no outcome to the exchange.
     */
    void abandon() {
        if (abandoned || ended) {
            return;
        }
        abandoned = true;
        answer.onAbandoned();
        removeFromTargetLoad();
        if (connection != null) {
            connection.abort();
        }
    }

    /** Continues the request at another target, if it is a resumable stream. */
    void migrate() {
        exchange.migrate(this);
    }

    private void removeFromTargetLoad() {
        if (!ended) {
            ended = true;
            answer.onEnded(dependencies.clock().instant());
            exchange.request().progress().onLatest(answer);
            completePrefill();
            engineSample.onEnded();
            dependencies.activeAttempts().remove(this);
            dependencies.crashingContents().onEnded(targetId(), suspects);
        }
    }

    private void completePrefill() {
        if (!prefillComplete) {
            prefillComplete = true;
            targetState().load().completePrefill(selection.prefillTokens());
        }
    }

    @Override
    public boolean onHead(HttpResponse head) {
        answer.onBytes(dependencies.clock().instant());
        dependencies
                .livenessChecker()
                .onAnswer(selection.target(), connection.isAnswerSelfDelimited());
        ResponseHead response = dependencies.dialect().readResponse(head);
        String expected = exchange.request().head().requestId();
        if (response.requestId().isPresent() && !response.requestId().get().equals(expected)) {
            connection.onOtherRequestAnswered(response.requestId().get(), response.status());
            return false;
        }
        if (response.requestId().isPresent()) {
            connection.onIdentifiedAnswer();
        } else if (!connection.acceptUnidentifiedAnswer(response.status(), response.notRun())) {
            reject(AttemptFailure.INVALID_ANSWER, response);
            return true;
        }
        response.weightVersion().ifPresent(targetState()::observeWeightVersion);
        checkResponse(response);
        if (rejection == null
                && exchange.relay().isStarted()
                && !exchange.relay().isContinuedBy(head)) {
            rejectResponse(AttemptFailure.INVALID_ANSWER, response);
        }
        if (rejection == null) {
            startRelay(head, response.isSuccess());
        }
        return true;
    }

    /** Rejects a response that must not be relayed to the caller. */
    private void checkResponse(ResponseHead response) {
        int status = response.status();
        if (response.notRun() || status == MISDIRECTED) {
            rejectResponse(AttemptFailure.REFUSED, response);
        } else if (response.isSuccess() && (!response.signed() || response.contentEncoded())) {
            rejectResponse(AttemptFailure.INVALID_ANSWER, response);
        } else if (status == UNAVAILABLE
                || status == TOO_MANY_REQUESTS
                || status == REQUEST_TIMEOUT) {
            rejectResponse(AttemptFailure.SERVER_ERROR, response);
        } else if (status >= FIRST_SERVER_ERROR && !response.signed()) {
            rejectResponse(AttemptFailure.SERVER_ERROR, response);
        } else if (status >= FIRST_SERVER_ERROR && exchange.reserveRetry(this)) {
            rejectResponse(AttemptFailure.SERVER_ERROR, response);
        } else if (exchange.relay().isStarted() && !response.isSuccess()) {
            rejectResponse(AttemptFailure.SERVER_ERROR, response);
        }
    }

    private void rejectResponse(AttemptFailure attemptFailure, ResponseHead response) {
        reject(attemptFailure, response);
        if (response.status() == MISDIRECTED) {
            handleMisdirected(response);
        }
    }

    private void reject(AttemptFailure attemptFailure, ResponseHead response) {
        rejection = attemptFailure;
        rejectionDetail =
                "status="
                        + response.status()
                        + " signed="
                        + response.signed()
                        + response.respondingInstance()
                                .map(other -> " instance=" + other)
                                .orElse("");
    }

    private void handleMisdirected(ResponseHead response) {
        boolean respondedByOther =
                response.respondingInstance().filter(id -> !id.equals(targetId())).isPresent();
        if (respondedByOther) {
            targetState().health().onUnreachable(dependencies.clock().instant());
        } else {
            targetState().discardWeightVersion();
        }
    }

    private void startRelay(HttpResponse head, boolean success) {
        boolean stream = exchange.request().route().kind().isStream();
        boolean resumable = stream && success && exchange.request().route().kind().isRetryable();
        successful = success;
        exchange.takeover().onAnswering(this, resumable);
        if (!exchange.relay().isStarted()) {
            exchange.relay().start(head, resumable);
        }
        if (!stream) {
            exchange.onFirstByte();
            exchange.stopSilenceTimer();
        }
    }

    @Override
    public void onContent(ByteBuf content) {
        dispatch.count(content.readableBytes());
        answer.onBytes(dependencies.clock().instant());
        if (rejection != null) {
            discard(content);
            return;
        }
        if (!prefillComplete) {
            completePrefill();
            firstByteAt = dependencies.clock().instant();
            engineSample.onFirstBytes(successful, firstByteAt);
            dependencies.targetSelector().recordPromptCached(exchange.request(), selection);
            exchange.onFirstByte();
        }
        if (exchange.relay().relayContent(content)) {
            Instant now = dependencies.clock().instant();
            targetState().recordBytesReceived(now);
            checkProvenHarmless(now);
            if (exchange.request().route().kind().isStream()) {
                exchange.onEventsRelayed();
                recordStreamTiming(now);
            }
        }
        if (exchange.relay().hasOversizedEvent()) {
            endOversizedEvent();
            return;
        }
        if (!exchange.relay().isWritable()) {
            setReading(false);
        }
    }

    private void recordStreamTiming(Instant now) {
        if (successful) {
            engineSample.onEvents(now);
            exchange.request()
                    .streamTiming(dependencies.metrics())
                    .onEvents(selection.forwarding().priority(), now);
        }
    }

    /** Ends the attempt, because an event of its stream has no end or no memory is left for it. */
    void endOversizedEvent() {
        connection.abort();
        if (exchange.relay().isEventTooLarge()) {
            fail(AttemptFailure.INVALID_ANSWER, "an event of the stream is too large");
            return;
        }
        answer.onOutOfMemory();
        fail(AttemptFailure.INVALID_ANSWER, "no memory is left for an event of the stream");
    }

    /** A target that crashes for a request does so as it begins to answer. */
    private void checkProvenHarmless(Instant now) {
        if (successful && !provenHarmless && !firstByteAt.plus(HARMLESS_ANSWER_TIME).isAfter(now)) {
            provenHarmless = true;
            dependencies.crashingContents().onCompleted(exchange::keys, exchange.parts());
        }
    }

    /** Skips the body of a rejected response; ends the attempt if the body is too long to skip. */
    private void discard(ByteBuf content) {
        discardedBytes += content.readableBytes();
        if (discardedBytes > MAXIMUM_DISCARDED_BYTES) {
            connection.abort();
            fail(rejection, rejectionDetail);
        }
    }

    @Override
    public void onComplete() {
        if (rejection != null) {
            fail(rejection, rejectionDetail);
            return;
        }
        if (exchange.relay().hasIncompleteEvent()) {
            failBroken(AttemptFailure.BROKEN_STREAM, "the event stream ended inside an event");
            return;
        }
        boolean endedByClose = connection.isAnswerEndedByClose();
        answer.onComplete(endedByClose);
        if (endedByClose && exchange.relay().isStreamWithoutEvent()) {
            failBroken(AttemptFailure.BROKEN_STREAM, "the event stream ended without an event");
            return;
        }
        removeFromTargetLoad();
        if (endedByClose) {
            exchange.onAnswerEndedByClose(selection, this, sentAt, successful);
        } else {
            finishAnswer();
            exchange.onComplete(successful);
        }
    }

    /** Passes on the end of the answer, which is whole. */
    void finishAnswer() {
        Instant now = dependencies.clock().instant();
        dependencies
                .stopDeadline()
                .answerTimes()
                .record(
                        exchange.request().route().name(),
                        targetId(),
                        Duration.between(sentAt, now));
        targetState().health().onSuccess(now);
        dispatch.onCompleted(Optional.ofNullable(firstByteAt));
        if (firstByteAt != null) {
            engineSample.onCompleted(Duration.between(firstByteAt, now));
        }
        exchange.relay().complete();
    }

    @Override
    public void onFailure(Failure failure, String detail) {
        if (rejection != null) {
            fail(rejection, rejectionDetail);
            return;
        }
        AttemptFailure attemptFailure =
                failure == Failure.INVALID_ANSWER
                        ? AttemptFailure.INVALID_ANSWER
                        : exchange.relay().isStarted()
                                ? AttemptFailure.BROKEN_STREAM
                                : AttemptFailure.NO_ANSWER;
        failBroken(attemptFailure, detail);
    }

    private void failBroken(AttemptFailure attemptFailure, String detail) {
        removeFromTargetLoad();
        recordFailure(attemptFailure, detail);
        exchange.onConnectionBroken(selection, this, sentAt, attemptFailure, detail);
    }

    private void fail(AttemptFailure attemptFailure, String detail) {
        removeFromTargetLoad();
        recordFailure(attemptFailure, detail);
        exchange.onAttemptFailed(this, attemptFailure, detail);
    }

    /** Records once that the target has been silent for long, however many others are asked. */
    void recordSilence() {
        if (!silenceRecorded) {
            silenceRecorded = true;
            recordFailure(AttemptFailure.NO_ANSWER, "silent");
        }
    }

    /** Records the failure in the target's state and writes it to the log. */
    void recordFailure(AttemptFailure attemptFailure, String detail) {
        Instant now = dependencies.clock().instant();
        answer.onFailed(attemptFailure);
        if (attemptFailure == AttemptFailure.REFUSED) {
            targetState().recordRefusal(now);
        } else if (attemptFailure == AttemptFailure.SERVER_ERROR) {
            targetState().health().onErrorResponse();
        } else if (attemptFailure == AttemptFailure.NO_ANSWER && sentAt != null) {
            targetState().health().onResponseTimeout(sentAt, now);
        } else if (attemptFailure != AttemptFailure.NOT_SENT) {
            targetState().health().onFailure(now);
        }
        dependencies
                .log()
                .write(
                        DecisionKind.ATTEMPT_FAILED,
                        exchange.request().head().requestId(),
                        () ->
                                detail
                                        + " target="
                                        + targetId()
                                        + describeRun(attemptFailure, now)
                                        + " failure-rate="
                                        + targetState().health().failureRate(),
                        attemptFailure.toString());
    }

    /** Describes what the target may have run, so that failures of one content can be compared. */
    private String describeRun(AttemptFailure attemptFailure, Instant now) {
        return sentAt == null || !attemptFailure.mayHaveRun()
                ? ""
                : " "
                        + exchange.keys().describe()
                        + " sent-before="
                        + Duration.between(sentAt, now).toMillis();
    }
}
