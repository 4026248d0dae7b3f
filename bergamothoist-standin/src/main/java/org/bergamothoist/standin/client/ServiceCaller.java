package org.bergamothoist.standin.client;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.bergamothoist.standin.internal.Json;

/** Calls plain services as one caller, each call once, and checks that the echo is its own. */
public final class ServiceCaller {

    private static final int FIRST_FAILURE_STATUS = 400;

    private final CallerTransport transport;
    private final CallerSettings settings;
    private final AddressBook addresses;

    /** Creates a caller without asking for addresses yet. */
    public ServiceCaller(CallerTransport transport, CallerSettings settings) {
        this.transport = transport;
        this.settings = settings;
        this.addresses = new AddressBook(transport, settings);
    }

    /**
     * Sends a call as soon as a daemon can be reached; the result never fails, but has an outcome
     * and violations.
     */
    public CompletableFuture<ServiceResult> call(ServiceRequest request) {
        String requestId = transport.newRequestId().toString();
        Instant giveUp = transport.clock().instant().plus(settings.patience());
        return reachableAddress(giveUp)
                .thenCompose(address -> send(request, requestId, address))
                .exceptionally(error -> result(request, requestId, 0, new byte[0]));
    }

    private CompletableFuture<Optional<String>> reachableAddress(Instant giveUp) {
        return addresses
                .address()
                .thenCompose(
                        address -> {
                            boolean late = transport.clock().instant().isAfter(giveUp);
                            return address.isPresent() || late
                                    ? CompletableFuture.completedFuture(address)
                                    : transport
                                            .delay(CallerTransport.RECONNECT_DELAY)
                                            .thenCompose(ignored -> reachableAddress(giveUp));
                        });
    }

    private CompletableFuture<ServiceResult> send(
            ServiceRequest request, String requestId, Optional<String> address) {
        if (address.isEmpty()) {
            return CompletableFuture.completedFuture(result(request, requestId, 0, new byte[0]));
        }
        String path = "/v1/services/" + request.service() + "/" + request.path();
        HttpRequest httpRequest =
                CallerTransport.request(address.get(), path, settings.organisation())
                        .header("Request-Id", requestId)
                        .header("Idempotent", String.valueOf(request.idempotent()))
                        .timeout(settings.patience())
                        .method(
                                request.method(),
                                HttpRequest.BodyPublishers.ofByteArray(request.body()))
                        .build();
        return transport
                .client()
                .sendAsync(httpRequest, HttpResponse.BodyHandlers.ofByteArray())
                .whenComplete(
                        (answer, error) -> {
                            if (error != null) {
                                addresses.failed(address.get());
                            }
                        })
                .thenApply(
                        answer -> result(request, requestId, answer.statusCode(), answer.body()));
    }

    private static ServiceResult result(
            ServiceRequest request, String requestId, int status, byte[] body) {
        if (status == 0) {
            return new ServiceResult(
                    request,
                    status,
                    body,
                    new Sending(requestId, OutcomeKind.NO_ANSWER, ""),
                    List.of());
        }
        if (status >= FIRST_FAILURE_STATUS) {
            return refused(request, requestId, status, body);
        }
        boolean own = Arrays.equals(request.body(), body);
        String detail = "the answer is not the echo of the call";
        return new ServiceResult(
                request,
                status,
                body,
                new Sending(requestId, OutcomeKind.ANSWERED, ""),
                own
                        ? List.of()
                        : List.of(new Violation(Violation.Kind.FOREIGN_TEXT, requestId, detail)));
    }

    private static ServiceResult refused(
            ServiceRequest request, String requestId, int status, byte[] body) {
        try {
            RouterMessages.Outcome outcome = Json.read(body, RouterMessages.Outcome.class);
            Sending sending = new Sending(requestId, outcome.kind(), outcome.code());
            return new ServiceResult(request, status, body, sending, List.of());
        } catch (RuntimeException e) {
            Violation violation =
                    new Violation(
                            Violation.Kind.MALFORMED_EVENT,
                            requestId,
                            "status " + status + ": " + e.getMessage());
            Sending sending = new Sending(requestId, OutcomeKind.NO_ANSWER, "");
            return new ServiceResult(request, status, body, sending, List.of(violation));
        }
    }
}
