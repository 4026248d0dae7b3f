package org.bergamothoist.core.node;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.invariant.InvariantMonitor;
import org.bergamothoist.core.request.CompletionExchange;
import org.bergamothoist.core.request.CompletionListener;
import org.bergamothoist.core.request.CompletionSubmission;
import org.bergamothoist.core.request.FilterChain;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.request.OutcomeGuard;
import org.bergamothoist.core.request.RequestExchange;
import org.bergamothoist.core.request.ResumeSubmission;
import org.bergamothoist.core.request.ServiceExchange;
import org.bergamothoist.core.request.ServiceResponseListener;
import org.bergamothoist.core.request.ServiceSubmission;
import org.bergamothoist.core.request.StreamHandle;
import org.bergamothoist.core.stream.ResumeToken;
import org.bergamothoist.core.stream.ResumeTokenCodec;
import org.bergamothoist.core.stream.ServiceRelay;
import org.bergamothoist.core.stream.StreamRelay;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.core.timeline.EventKind;
import org.bergamothoist.core.timeline.Timeline;

/** Accepts submissions and passes them through the filter chain as exchanges. */
final class RequestIntake {

    private final Dependencies dependencies;
    private final Set<RequestExchange> running = new HashSet<>();

    RequestIntake(Dependencies dependencies) {
        this.dependencies = dependencies;
    }

    /** The components that the intake uses. */
    record Dependencies(
            FilterChain<CompletionExchange> completions,
            FilterChain<ServiceExchange> services,
            OutcomeGuard outcomeGuard,
            ResumeTokenCodec tokenCodec,
            InvariantMonitor monitor,
            Scheduler scheduler,
            InstantSource clock,
            RandomGenerator random,
            Timeline timeline,
            NodeMetrics metrics) {}

    StreamHandle complete(CompletionSubmission submission, CompletionListener listener) {
        RequestId id = identify(submission.requestId());
        StreamRelay relay = new StreamRelay(id, listener, dependencies.monitor());
        CompletionExchange exchange =
                new CompletionExchange(
                        metadata(submission, id),
                        submission,
                        Optional.empty(),
                        relay,
                        dependencies.outcomeGuard());
        dependencies.scheduler().execute(() -> accept(exchange, dependencies.completions()));
        return handle(exchange, relay::request);
    }

    StreamHandle resume(ResumeSubmission submission, CompletionListener listener) {
        CompletionSubmission original = submission.original();
        RequestId id = identify(original.requestId());
        StreamRelay relay = new StreamRelay(id, listener, dependencies.monitor());
        CompletionExchange.ResumePoint point;
        try {
            ResumeToken token =
                    dependencies
                            .tokenCodec()
                            .decode(submission.token(), dependencies.clock().instant());
            point =
                    new CompletionExchange.ResumePoint(
                            token, submission.nextPiece(), submission.deliveredText());
        } catch (BergamothoistException exception) {
            Outcome outcome = new Outcome.Unknown(exception.code(), exception.getMessage());
            dependencies.scheduler().execute(() -> relay.finish(outcome));
            return new FinishedStreamHandle();
        }
        CompletionExchange exchange =
                new CompletionExchange(
                        metadata(original, id),
                        original,
                        Optional.of(point),
                        relay,
                        dependencies.outcomeGuard());
        if (!point.token().idempotent()) {
            exchange.markNonIdempotent();
        }
        dependencies.scheduler().execute(() -> accept(exchange, dependencies.completions()));
        return handle(exchange, relay::request);
    }

    StreamHandle callService(ServiceSubmission submission, ServiceResponseListener listener) {
        RequestId id = identify(submission.requestId());
        ServiceRelay relay = new ServiceRelay(id, listener, dependencies.monitor());
        RequestExchange.Metadata metadata =
                new RequestExchange.Metadata(
                        id,
                        submission.requestId().isPresent(),
                        submission.callerKey(),
                        submission.priority(),
                        dependencies.clock().instant(),
                        deadline(submission.deadline()),
                        submission.idempotent());
        ServiceExchange exchange =
                new ServiceExchange(metadata, submission, relay, dependencies.outcomeGuard());
        dependencies.scheduler().execute(() -> accept(exchange, dependencies.services()));
        return handle(exchange, relay::request);
    }

    private RequestId identify(Optional<RequestId> given) {
        return given.orElseGet(
                () -> RequestId.create(dependencies.clock().instant(), dependencies.random()));
    }

    private RequestExchange.Metadata metadata(CompletionSubmission submission, RequestId id) {
        return new RequestExchange.Metadata(
                id,
                submission.requestId().isPresent(),
                submission.callerKey(),
                submission.priority(),
                dependencies.clock().instant(),
                deadline(submission.deadline()),
                submission.idempotent());
    }

    private Optional<Instant> deadline(Optional<Duration> fromNow) {
        return fromNow.map(dependencies.clock().instant()::plus);
    }

    private <E extends RequestExchange> void accept(E exchange, FilterChain<E> chain) {
        running.add(exchange);
        dependencies.timeline().record(EventKind.REQUEST_ACCEPTED, exchange.id().toString(), "");
        exchange.onFinish(
                outcome -> {
                    running.remove(exchange);
                    dependencies.metrics().finished(outcome);
                    dependencies
                            .timeline()
                            .record(
                                    EventKind.REQUEST_FINISHED,
                                    exchange.id().toString(),
                                    outcome.getClass().getSimpleName());
                });
        chain.handle(exchange);
    }

    /** A non-idempotent request already sent continues, so that its outcome is recorded. */
    private static void onConnectionClosed(RequestExchange exchange) {
        if (exchange.idempotent() || !exchange.mayHaveRun()) {
            exchange.fail(ErrorCode.CANCELLED, "the caller closed its connection");
        }
    }

    /** Returns the accepted requests that have not finished. */
    List<RequestExchange> running() {
        return List.copyOf(running);
    }

    private StreamHandle handle(RequestExchange exchange, DemandSink sink) {
        return new StreamHandle() {
            @Override
            public void request(int pieces) {
                sink.request(pieces);
            }

            @Override
            public void cancel() {
                dependencies.scheduler().execute(() -> onConnectionClosed(exchange));
            }
        };
    }

    /** Receives a caller's request for further pieces. */
    @FunctionalInterface
    private interface DemandSink {

        void request(int pieces);
    }

    /** Handle of a request that has already finished. */
    private static final class FinishedStreamHandle implements StreamHandle {

        @Override
        public void request(int pieces) {
            // No events follow the outcome.
        }

        @Override
        public void cancel() {
            // The request has finished.
        }
    }
}
