package org.bergamothoist.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.fleet.TargetState;
import org.bergamothoist.core.relay.AttemptFailure;
import org.bergamothoist.gateway.client.AnswerListener;
import org.bergamothoist.gateway.client.ClientConnection;
import org.bergamothoist.gateway.wire.AnswerHead;

/** One sending of a request to one target. Confined to the event loop. */
final class Attempt implements AnswerListener {

    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int FIRST_SERVER_ERROR = 500;

    private final ExchangeServices services;
    private final Dispatcher.Dispatch dispatch;
    private final Exchange exchange;
    private ClientConnection connection;
    private Instant sentAt;
    private boolean abandoned;
    private boolean ended;
    private boolean prefilled;
    private AttemptFailure rejected;
    private String rejection;

    Attempt(ExchangeServices services, Dispatcher.Dispatch dispatch, Exchange exchange) {
        this.services = services;
        this.dispatch = dispatch;
        this.exchange = exchange;
    }

    String targetId() {
        return dispatch.target().id();
    }

    TargetState state() {
        return dispatch.state();
    }

    void start(HttpRequest head, ByteBuf body) {
        state().load().addRequest(dispatch.prefillTokens());
        services.activeAttempts().add(this);
        services.targetConnections()
                .acquire(
                        dispatch.target().address(),
                        (opened, failure) -> connected(opened, failure, head, body));
    }

    private void connected(
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
            state().health().onUnreachable(services.clock().instant());
            fail(AttemptFailure.NOT_SENT, "" + failure);
            return;
        }
        connection = opened;
        sentAt = services.clock().instant();
        opened.send(head, body, this);
    }

    /** Returns whether the target answers other requests, so that this one only waits its turn. */
    boolean isTargetHeardWithin(Duration time) {
        return state().hasReceivedBytesSince(services.clock().instant().minus(time));
    }

    boolean wasSent() {
        return sentAt != null;
    }

    void setReading(boolean reading) {
        if (connection != null) {
            connection.setReading(reading);
        }
    }

    /** Ends the attempt without an outcome of its own; the target's work stops. */
    void abandon() {
        if (abandoned || ended) {
            return;
        }
        abandoned = true;
        endLoad();
        if (connection != null) {
            connection.abort();
        }
    }

    /** Lets the request go on at another target, if it can. */
    void moveAway() {
        exchange.moveAway(this);
    }

    private void endLoad() {
        if (!ended) {
            ended = true;
            notePrefilled();
            state().load().removeRequest();
            services.activeAttempts().remove(this);
        }
    }

    private void notePrefilled() {
        if (!prefilled) {
            prefilled = true;
            state().load().completePrefill(dispatch.prefillTokens());
        }
    }

    @Override
    public boolean onHead(HttpResponse head) {
        AnswerHead answer = services.dialect().readAnswer(head);
        String expected = exchange.request().head().requestId();
        if (answer.requestId().isPresent() && !answer.requestId().get().equals(expected)) {
            services.log()
                    .write(
                            DecisionKind.ATTEMPT_FAILED,
                            expected,
                            () -> "answer for " + answer.requestId().get(),
                            "answer to another request ignored");
            return false;
        }
        answer.weightVersion().ifPresent(state()::observeWeightVersion);
        judge(answer);
        if (rejected == null) {
            begin(head);
        }
        return true;
    }

    /** Finds out whether the answer is passed on, and if not, why. */
    private void judge(AnswerHead answer) {
        int status = answer.status();
        if (answer.notRun() || status == MISDIRECTED) {
            reject(AttemptFailure.REFUSED, answer);
        } else if (answer.isSuccess() && (!answer.signed() || answer.encoded())) {
            reject(AttemptFailure.INVALID_ANSWER, answer);
        } else if (status == UNAVAILABLE
                || status == TOO_MANY_REQUESTS
                || status == REQUEST_TIMEOUT) {
            reject(AttemptFailure.SERVER_ERROR, answer);
        } else if (status >= FIRST_SERVER_ERROR && !answer.signed()) {
            reject(AttemptFailure.SERVER_ERROR, answer);
        } else if (status >= FIRST_SERVER_ERROR && exchange.claimRetry()) {
            reject(AttemptFailure.SERVER_ERROR, answer);
        } else if (exchange.relay().isStarted() && !answer.isSuccess()) {
            reject(AttemptFailure.SERVER_ERROR, answer);
        }
    }

    private void reject(AttemptFailure result, AnswerHead answer) {
        rejected = result;
        rejection =
                "status="
                        + answer.status()
                        + " signed="
                        + answer.signed()
                        + answer.otherInstance().map(other -> " instance=" + other).orElse("");
        if (answer.status() == MISDIRECTED) {
            noteMisdirected(answer);
        }
    }

    private void noteMisdirected(AnswerHead answer) {
        boolean otherInstance =
                answer.otherInstance().filter(id -> !id.equals(targetId())).isPresent();
        if (otherInstance) {
            state().health().onUnreachable(services.clock().instant());
        } else {
            state().discardWeightVersion();
        }
    }

    private void begin(HttpResponse head) {
        boolean stream = exchange.request().route().kind().isStream();
        boolean success = head.status().code() < 300;
        if (!exchange.relay().isStarted()) {
            boolean resumable =
                    stream && success && exchange.request().route().kind().isRetryable();
            exchange.relay().start(head, resumable);
        }
        if (!stream) {
            exchange.onFirstByte();
            exchange.stopWatchingSilence();
        }
    }

    @Override
    public void onContent(ByteBuf content) {
        state().recordBytesReceived(services.clock().instant());
        if (rejected != null) {
            return;
        }
        if (!prefilled) {
            notePrefilled();
            exchange.onFirstByte();
        }
        if (exchange.request().route().kind().isStream()) {
            exchange.watchSilence();
        }
        exchange.relay().content(content);
        if (!exchange.relay().isWritable()) {
            connection.setReading(false);
        }
    }

    @Override
    public void onComplete() {
        if (rejected != null) {
            fail(rejected, rejection);
            return;
        }
        if (exchange.relay().endsInsideAnEvent()) {
            fail(AttemptFailure.BROKEN_STREAM, "the stream ends inside an event");
            return;
        }
        endLoad();
        state().health().onSuccess(services.clock().instant());
        exchange.relay().complete();
        exchange.onComplete();
    }

    @Override
    public void onFailure(Failure failure, String detail) {
        if (rejected != null) {
            fail(rejected, rejection);
            return;
        }
        AttemptFailure result =
                failure == Failure.INVALID_ANSWER
                        ? AttemptFailure.INVALID_ANSWER
                        : exchange.relay().isStarted()
                                ? AttemptFailure.BROKEN_STREAM
                                : AttemptFailure.NO_ANSWER;
        fail(result, detail);
    }

    private void fail(AttemptFailure result, String detail) {
        endLoad();
        noteFailure(result, detail);
        exchange.onAttemptFailed(this, result, detail);
    }

    /** Lets the failure count for the target and writes it to the log. */
    void noteFailure(AttemptFailure result, String detail) {
        Instant now = services.clock().instant();
        if (result == AttemptFailure.REFUSED) {
            state().recordRefusal(now);
        } else if (result == AttemptFailure.SERVER_ERROR) {
            state().health().onErrorResponse();
        } else if (result == AttemptFailure.NO_ANSWER && sentAt != null) {
            state().health().onResponseTimeout(sentAt, now);
        } else if (result != AttemptFailure.NOT_SENT) {
            state().health().onFailure(now);
        }
        services.log()
                .write(
                        DecisionKind.ATTEMPT_FAILED,
                        exchange.request().head().requestId(),
                        () ->
                                detail
                                        + " target="
                                        + targetId()
                                        + " failure-rate="
                                        + state().health().failureRate(),
                        result.toString());
    }
}
