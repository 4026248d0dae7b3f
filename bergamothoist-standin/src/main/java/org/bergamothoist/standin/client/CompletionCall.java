package org.bergamothoist.standin.client;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.bergamothoist.standin.internal.Json;

/** One completion with all its sendings and resumes. Guarded by its own lock. */
final class CompletionCall {

    private static final int STATUS_OK = 200;

    private final CallerTransport transport;
    private final CallerSettings settings;
    private final AddressSource addresses;
    private final CompletionRequest request;
    private final StreamChecker checker;
    private final CompletableFuture<CompletionResult> result = new CompletableFuture<>();
    private final List<Sending> sendings = new ArrayList<>();
    private final Instant begin;
    private String requestId;
    private int exchange;
    private int resumes;
    private Optional<String> resumeToken = Optional.empty();
    private Optional<RouterMessages.Outcome> outcome = Optional.empty();
    private Optional<Duration> timeToFirstToken = Optional.empty();

    CompletionCall(
            CallerTransport transport,
            CallerSettings settings,
            AddressSource addresses,
            CompletionRequest request) {
        this.transport = transport;
        this.settings = settings;
        this.addresses = addresses;
        this.request = request;
        this.requestId = transport.newRequestId().toString();
        this.checker = new StreamChecker(request, requestId);
        this.begin = transport.clock().instant();
    }

    CompletableFuture<CompletionResult> run() {
        transport.schedule(settings.patience(), this::giveUp);
        send();
        return result;
    }

    private void send() {
        addresses.address().whenComplete(this::sendTo);
    }

    private synchronized void sendTo(Optional<String> address, Throwable error) {
        if (result.isDone()) {
            return;
        }
        if (error != null || address.isEmpty()) {
            transport.schedule(CallerTransport.RECONNECT_DELAY, this::send);
            return;
        }
        int current = ++exchange;
        EventReader reader =
                new EventReader((event, id, data) -> onEvent(current, event, id, data));
        transport
                .client()
                .sendAsync(httpRequest(address.get()), info -> body(info, reader))
                .whenComplete((answer, failure) -> ended(current, address.get(), answer, failure));
    }

    private HttpRequest httpRequest(String address) {
        boolean resume = resumeToken.isPresent();
        String path = resume ? "/v1/completions/resume" : "/v1/completions";
        HttpRequest.Builder builder =
                CallerTransport.request(address, path, settings.organisation())
                        .header("Content-Type", "application/json")
                        .header("Accept", "text/event-stream, application/json")
                        .header("Request-Id", requestId)
                        .header("Request-Priority", String.valueOf(request.priority()));
        request.deadline()
                .ifPresent(
                        deadline ->
                                builder.header(
                                        "Request-Deadline", String.valueOf(deadline.toMillis())));
        byte[] body = Json.write(resume ? resumeMessage() : completionMessage());
        return builder.POST(HttpRequest.BodyPublishers.ofByteArray(body)).build();
    }

    private RouterMessages.Completion completionMessage() {
        return new RouterMessages.Completion(
                request.modelKey().model(),
                request.modelKey().adapter(),
                request.modelKey().version(),
                request.prompt(),
                request.maximumTokens(),
                request.idempotent());
    }

    private RouterMessages.Resume resumeMessage() {
        return new RouterMessages.Resume(
                request.modelKey().model(),
                request.modelKey().adapter(),
                request.modelKey().version(),
                request.prompt(),
                request.maximumTokens(),
                request.idempotent(),
                resumeToken.orElseThrow(),
                checker.nextPiece(),
                checker.text());
    }

    private static HttpResponse.BodySubscriber<byte[]> body(
            HttpResponse.ResponseInfo info, EventReader reader) {
        return info.statusCode() == STATUS_OK
                ? HttpResponse.BodySubscribers.fromLineSubscriber(
                        reader, ignored -> new byte[0], StandardCharsets.UTF_8, null)
                : HttpResponse.BodySubscribers.ofByteArray();
    }

    private synchronized void onEvent(int current, String event, String id, String data) {
        if (current != exchange || result.isDone()) {
            return;
        }
        if (outcome.isPresent()) {
            checker.malformed("event after the outcome: " + event);
            return;
        }
        byte[] bytes = data.getBytes(StandardCharsets.UTF_8);
        try {
            switch (event) {
                case "start" -> started(Json.read(bytes, RouterMessages.Start.class));
                case "piece" -> piece(id, Json.read(bytes, RouterMessages.Piece.class));
                case "outcome" ->
                        outcome = Optional.of(Json.read(bytes, RouterMessages.Outcome.class));
                default -> checker.malformed("unknown event: " + event);
            }
        } catch (RuntimeException e) {
            checker.malformed(event + ": " + e.getMessage());
        }
    }

    private void started(RouterMessages.Start start) {
        if (start.resumeToken() == null) {
            checker.malformed("start has no resume token");
        }
        resumeToken = Optional.ofNullable(start.resumeToken());
        checker.onStart(start);
    }

    private void piece(String id, RouterMessages.Piece piece) {
        if (timeToFirstToken.isEmpty()) {
            timeToFirstToken = Optional.of(Duration.between(begin, transport.clock().instant()));
        }
        checker.onPiece(id, piece);
    }

    private synchronized void ended(
            int current, String address, HttpResponse<byte[]> answer, Throwable failure) {
        if (current != exchange || result.isDone()) {
            return;
        }
        if (outcome.isPresent()) {
            decide(outcome.get());
        } else if (failure != null) {
            lost(address);
        } else if (answer.statusCode() == STATUS_OK) {
            checker.onEndWithoutOutcome(address);
            finish(OutcomeKind.NO_ANSWER, "");
        } else {
            refused(answer);
        }
    }

    /**
     * Resumes a stream that began, and otherwise sends the request again. An idempotent request
     * gets a new identifier then, so that what the router says later is about that sending alone.
     */
    private void lost(String address) {
        addresses.failed(address);
        checker.onLost();
        if (resumeToken.isPresent()) {
            resumes++;
        }
        boolean again = resumeToken.isPresent() || !request.idempotent();
        transport.schedule(
                CallerTransport.RECONNECT_DELAY, again ? this::send : this::sendUnderNewId);
    }

    private void refused(HttpResponse<byte[]> answer) {
        try {
            decide(Json.read(answer.body(), RouterMessages.Outcome.class));
        } catch (RuntimeException e) {
            checker.malformed("status " + answer.statusCode() + ": " + e.getMessage());
            finish(OutcomeKind.NO_ANSWER, "");
        }
    }

    private void decide(RouterMessages.Outcome said) {
        outcome = Optional.empty();
        sendings.add(new Sending(requestId, said.kind(), said.code()));
        if (said.kind() == OutcomeKind.ANSWERED) {
            checker.onAnswered();
        }
        if (said.kind() != OutcomeKind.NOT_RUN || said.retryAfterMs() <= 0) {
            finish(said.kind(), said.code());
            return;
        }
        transport.schedule(
                Duration.ofMillis(said.retryAfterMs()),
                resumeToken.isPresent() ? this::send : this::sendUnderNewId);
    }

    /** An identifier carries the time of its first sending, so it is made only then. */
    private void sendUnderNewId() {
        synchronized (this) {
            if (result.isDone()) {
                return;
            }
            requestId = transport.newRequestId().toString();
            checker.restart(requestId);
        }
        send();
    }

    private synchronized void giveUp() {
        if (result.isDone()) {
            return;
        }
        if (resumeToken.isPresent()) {
            checker.onNoOutcome();
            finish(OutcomeKind.NO_ANSWER, "");
        } else if (sendings.isEmpty()) {
            finish(OutcomeKind.NO_ANSWER, "");
        } else {
            finish(lastSending().outcome(), lastSending().code());
        }
    }

    private Sending lastSending() {
        return sendings.get(sendings.size() - 1);
    }

    private void finish(OutcomeKind kind, String code) {
        exchange++;
        if (sendings.isEmpty() || !lastSending().requestId().equals(requestId)) {
            sendings.add(new Sending(requestId, OutcomeKind.NO_ANSWER, ""));
        }
        result.complete(
                new CompletionResult(
                        request,
                        kind,
                        code,
                        sendings,
                        checker.text(),
                        timeToFirstToken,
                        resumes,
                        checker.violations()));
    }
}
