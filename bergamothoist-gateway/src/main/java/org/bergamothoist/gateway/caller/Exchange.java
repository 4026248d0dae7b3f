package org.bergamothoist.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.relay.AttemptFailure;
import org.bergamothoist.core.relay.RetryPolicy;
import org.bergamothoist.core.route.RequestKind;
import org.bergamothoist.core.time.Jitter;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.wire.EndToEnd;
import org.bergamothoist.gateway.wire.Forwarding;

/**
 * One request of a caller, from its arrival to the end of its answer. Confined to the event loop.
 *
 * <p>Ends exactly once: with a target's answer, with an answer of the relay's own, or with a broken
 * connection. A refusal that promises that the request was not run is given only if no attempt may
 * have run it.
 */
final class Exchange {

    /** Attempts that certainly did not run may be repeated soon elsewhere or at the same target. */
    private static final Duration LEAST_RETURN = Duration.ofMillis(100);

    /** Range over which returns of refused callers are spread. */
    private static final Duration RETURN_SPREAD = Duration.ofMillis(400);

    /** Silence of a target before a repeatable request is sent elsewhere, in objectives. */
    private static final int SILENCE_IN_OBJECTIVES = 2;

    private static final int UNAVAILABLE = 503;
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;

    private final ExchangeServices services;
    private final RequestContext request;
    private final HttpHeaders headers;
    private final CallerChannel caller;
    private final AnswerRelay relay;
    private final Set<String> tried = new HashSet<>();
    private ByteBuf body;
    private boolean sized;
    private String service;
    private RetryPolicy.History history = RetryPolicy.History.NONE;
    private Attempt attempt;
    private Scheduler.Cancellable timeout = () -> {};
    private Scheduler.Cancellable silence = () -> {};
    private boolean retryClaimed;
    private Duration firstByteAfter;
    private boolean ended;

    Exchange(
            ExchangeServices services,
            RequestContext request,
            HttpHeaders callerHeaders,
            CallerChannel caller) {
        this.services = services;
        this.request = request;
        this.caller = caller;
        this.headers = EndToEnd.of(callerHeaders, services.dialect()::isEssential);
        this.relay = new AnswerRelay(services.dialect(), caller);
    }

    /** Passes the filters; returns whether the request goes on. */
    boolean begin() {
        services.metrics().arrived();
        for (RequestFilter filter : services.filters()) {
            Optional<Refusal> refusal = filter.check(request);
            if (refusal.isPresent()) {
                refuse(refusal.get());
                return false;
            }
        }
        Duration left = Duration.between(services.clock().instant(), request.answerBy());
        timeout = services.scheduler().schedule(left, this::onTimeout);
        return true;
    }

    private void refuse(Refusal refusal) {
        ended = true;
        timeout.cancel();
        release();
        services.log()
                .write(
                        DecisionKind.REQUEST_REFUSED,
                        request.head().requestId(),
                        () -> refusal.reason() + describeConfiguration(),
                        refusal.status() + " " + refusal.code());
        services.metrics().ended("refused");
        OwnAnswers.send(caller, refusal);
    }

    private String describeConfiguration() {
        return request.configuration() == null
                ? ""
                : " configuration=" + request.configuration().version();
    }

    /**
     * Sends the request to a target once its body is complete.
     *
     * @param complete taken over
     * @param hasBody whether the caller announced a body, possibly an empty one
     */
    void dispatch(ByteBuf complete, boolean hasBody) {
        body = complete;
        sized = hasBody;
        if (ended) {
            release();
            return;
        }
        service = services.dispatcher().drawService(request);
        services.attemptPolicy().onRequest(service);
        send();
    }

    private Duration left() {
        return Duration.between(services.clock().instant(), request.answerBy());
    }

    private void send() {
        Optional<String> lastEventId = relay.lastEventId().or(request.head()::lastEventId);
        Optional<Dispatcher.Dispatch> chosen =
                services.dispatcher().choose(request, service, tried, left(), lastEventId);
        if (chosen.isEmpty()) {
            fail("no target takes the request", ErrorCode.NO_TARGET);
            return;
        }
        Dispatcher.Dispatch dispatch = chosen.get();
        Optional<Duration> returnAfter = returnAfter(dispatch);
        if (returnAfter.isPresent()) {
            refuse(
                    new Refusal(
                            UNAVAILABLE,
                            ErrorCode.LIMIT_EXCEEDED,
                            "the least loaded engine is busy for "
                                    + dispatch.queueing().toMillis()
                                    + " ms",
                            returnAfter));
            return;
        }
        attempt = new Attempt(services, dispatch, this);
        services.metrics().attempted();
        services.log()
                .write(
                        DecisionKind.REQUEST_DISPATCHED,
                        request.head().requestId(),
                        () -> describe(dispatch),
                        dispatch.target().id());
        attempt.start(forwarded(dispatch.forwarding()), body.retainedDuplicate());
        watchSilence();
    }

    /** Only first attempts are refused for load; what has begun goes on. */
    private Optional<Duration> returnAfter(Dispatcher.Dispatch dispatch) {
        return history.equals(RetryPolicy.History.NONE)
                ? services.admissionPolicy()
                        .retryAfter(
                                request.route(),
                                dispatch.queueing(),
                                dispatch.forwarding().priority())
                : Optional.empty();
    }

    private String describe(Dispatcher.Dispatch dispatch) {
        Instant now = services.clock().instant();
        return "route="
                + request.route().name()
                + " configuration="
                + request.configuration().version()
                + " weights="
                + dispatch.state().weightVersion().orElse(0)
                + " requests="
                + dispatch.state().load().totalRequests(now)
                + " prefill="
                + dispatch.prefillTokens()
                + " queueing="
                + dispatch.queueing().toMillis()
                + " priority="
                + dispatch.forwarding().priority()
                + dispatch.forwarding().fetchFrom().map(from -> " fetch=" + from).orElse("")
                + dispatch.forwarding().saveTo().map(to -> " save=" + to).orElse("")
                + " left="
                + left().toMillis();
    }

    private HttpRequest forwarded(Forwarding forwarding) {
        HttpRequest head =
                new DefaultHttpRequest(
                        HttpVersion.HTTP_1_1,
                        request.head().method(),
                        request.head().target(),
                        headers.copy());
        services.dialect().write(head.headers(), forwarding);
        if (sized || body.isReadable()) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        return head;
    }

    /** Watches only requests that another target may take over. */
    void watchSilence() {
        silence.cancel();
        if (!request.route().kind().isRetryable()) {
            return;
        }
        Duration longest = request.route().latencyObjective().multipliedBy(SILENCE_IN_OBJECTIVES);
        silence = services.scheduler().schedule(longest, this::onSilence);
    }

    void stopWatchingSilence() {
        silence.cancel();
    }

    private void onSilence() {
        if (ended || attempt == null) {
            return;
        }
        Duration objective = request.route().latencyObjective();
        if (request.route().kind().isStream() && attempt.isTargetHeardWithin(objective)) {
            watchSilence();
            return;
        }
        if (isRetried(AttemptFailure.NO_ANSWER)) {
            Attempt silent = attempt;
            silent.abandon();
            silent.noteFailure(AttemptFailure.NO_ANSWER, "silent");
            resend(silent, AttemptFailure.NO_ANSWER);
        }
    }

    /** Continues a resumable stream at another target, because its target is about to pause. */
    void moveAway(Attempt leaving) {
        boolean movable =
                !ended
                        && attempt == leaving
                        && request.route().kind() == RequestKind.RESUMABLE_STREAM;
        if (movable && isRetried(AttemptFailure.MOVED_AWAY)) {
            leaving.abandon();
            resend(leaving, AttemptFailure.MOVED_AWAY);
        }
    }

    private boolean isRetried(AttemptFailure result) {
        boolean canGoOn = !relay.isStarted() || relay.isResumable();
        return canGoOn
                && services.attemptPolicy()
                        .tryRetry(
                                new RetryPolicy.FailedAttempt(
                                        request.route(),
                                        service,
                                        history,
                                        relay.isStarted(),
                                        left()),
                                result);
    }

    private void resend(Attempt failed, AttemptFailure result) {
        history = history.after(result);
        tried.add(failed.targetId());
        attempt = null;
        relay.dropIncompleteEvent();
        send();
    }

    /** Notes that a target has begun with the body of its answer. */
    void onFirstByte() {
        if (firstByteAfter == null) {
            firstByteAfter = Duration.between(request.arrivedAt(), services.clock().instant());
            services.metrics().firstByteAfter(firstByteAfter);
        }
    }

    AnswerRelay relay() {
        return relay;
    }

    RequestContext request() {
        return request;
    }

    /** Decides what follows a failed attempt. */
    void onAttemptFailed(Attempt failed, AttemptFailure result, String detail) {
        if (ended) {
            return;
        }
        silence.cancel();
        boolean claimed = retryClaimed;
        retryClaimed = false;
        if (claimed || isRetried(result)) {
            resend(failed, result);
            return;
        }
        history = history.after(result);
        attempt = null;
        fail(result + " at " + failed.targetId() + ": " + detail, ErrorCode.TARGET_FAILED);
    }

    /**
     * Returns whether a target's failure is to be followed by another attempt; if not, it is the
     * answer.
     */
    boolean claimRetry() {
        retryClaimed = !relay.isStarted() && isRetried(AttemptFailure.SERVER_ERROR);
        return retryClaimed;
    }

    /** Ends the request with an answer of the relay's own, or a break if one has begun. */
    private void fail(String reason, ErrorCode code) {
        if (relay.isStarted()) {
            end("broken", reason);
            caller.breakOff();
            return;
        }
        if (history.certainlyNotRun()) {
            Duration pause = Jitter.delay(LEAST_RETURN, RETURN_SPREAD, services.random());
            answer(new Refusal(UNAVAILABLE, code, reason, Optional.of(pause)));
            return;
        }
        answer(Refusal.of(BAD_GATEWAY, code, reason));
    }

    private void answer(Refusal refusal) {
        end(String.valueOf(refusal.status()), refusal.reason());
        OwnAnswers.send(caller, refusal);
    }

    private void onTimeout() {
        if (ended) {
            return;
        }
        boolean wasSent = attempt != null && attempt.wasSent();
        if (attempt != null) {
            attempt.abandon();
            attempt.noteFailure(AttemptFailure.NO_ANSWER, "timeout");
        }
        if (relay.isStarted()) {
            end(
                    "timeout-broken",
                    "timeout after "
                            + request.route().timeout().toMillis()
                            + " ms "
                            + relay.describe());
            caller.breakOff();
            return;
        }
        boolean notRun = history.certainlyNotRun() && !wasSent;
        history = wasSent ? history.after(AttemptFailure.NO_ANSWER) : history;
        answer(
                notRun
                        ? Refusal.of(
                                UNAVAILABLE, ErrorCode.DEADLINE_UNREACHABLE, "not sent in time")
                        : Refusal.of(GATEWAY_TIMEOUT, ErrorCode.DEADLINE_EXCEEDED, "no answer"));
    }

    /** Notes that the caller has the complete answer. */
    void onComplete() {
        services.metrics()
                .completeAfter(Duration.between(request.arrivedAt(), services.clock().instant()));
        end("answered", relay.describe());
    }

    private void end(String outcome, String detail) {
        ended = true;
        timeout.cancel();
        silence.cancel();
        attempt = null;
        release();
        services.metrics().ended(outcome);
        services.log()
                .write(
                        DecisionKind.REQUEST_ENDED,
                        request.head().requestId(),
                        () ->
                                detail
                                        + " runs="
                                        + history.attemptsPossiblyRun()
                                        + " unrun="
                                        + history.attemptsNotRun()
                                        + (firstByteAfter == null
                                                ? ""
                                                : " first-byte=" + firstByteAfter.toMillis())
                                        + " after="
                                        + Duration.between(
                                                        request.arrivedAt(),
                                                        services.clock().instant())
                                                .toMillis(),
                        outcome);
    }

    /** Stops the target's work when the caller has left. */
    void onCallerGone() {
        if (ended) {
            return;
        }
        if (attempt != null) {
            attempt.abandon();
        }
        end("caller-left", "connection closed by the caller");
    }

    /** Resumes reading the answer when the caller takes bytes again. */
    void onWritable() {
        if (attempt != null) {
            attempt.setReading(true);
        }
    }

    boolean isEnded() {
        return ended;
    }

    private void release() {
        if (body != null) {
            body.release();
            body = null;
        }
    }
}
