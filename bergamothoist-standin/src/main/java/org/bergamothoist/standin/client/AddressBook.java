package org.bergamothoist.standin.client;

import java.net.URLEncoder;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.bergamothoist.standin.internal.Json;

/** The addresses that the router named, kept for the lifetime of its answer. */
final class AddressBook implements AddressSource {

    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(2);

    private final CallerTransport transport;
    private final CallerSettings settings;
    private final String question;
    private final List<String> usable = new ArrayList<>();
    private Instant expiry = Instant.MIN;
    private int nextKnown;
    private CompletableFuture<Optional<String>> asking = CompletableFuture.completedFuture(null);

    /** Creates an empty book; the addresses that the caller knows are asked at first. */
    AddressBook(CallerTransport transport, CallerSettings settings) {
        this.transport = transport;
        this.settings = settings;
        this.question =
                settings.affinity().isEmpty()
                        ? "/v1/addresses"
                        : "/v1/addresses?affinity="
                                + URLEncoder.encode(settings.affinity(), StandardCharsets.UTF_8);
    }

    @Override
    public synchronized CompletableFuture<Optional<String>> address() {
        Optional<String> kept = kept();
        if (kept.isPresent()) {
            return CompletableFuture.completedFuture(kept);
        }
        // Requests that begin at the same time share one question.
        if (asking.isDone()) {
            asking = ask(settings.knownAddresses().size());
        }
        return asking;
    }

    @Override
    public synchronized void failed(String address) {
        usable.remove(address);
    }

    private synchronized Optional<String> kept() {
        boolean valid = transport.clock().instant().isBefore(expiry) && !usable.isEmpty();
        return valid ? Optional.of(usable.get(0)) : Optional.empty();
    }

    private CompletableFuture<Optional<String>> ask(int attempts) {
        if (attempts == 0) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return transport
                .client()
                .sendAsync(
                        CallerTransport.request(nextKnown(), question, settings.organisation())
                                .timeout(ANSWER_TIMEOUT)
                                .build(),
                        HttpResponse.BodyHandlers.ofByteArray())
                .handle((answer, error) -> error == null && keep(answer))
                .thenCompose(
                        kept ->
                                kept
                                        ? CompletableFuture.completedFuture(kept())
                                        : ask(attempts - 1));
    }

    private synchronized String nextKnown() {
        List<String> known = settings.knownAddresses();
        return known.get(nextKnown++ % known.size());
    }

    private synchronized boolean keep(HttpResponse<byte[]> answer) {
        if (answer.statusCode() != 200) {
            return false;
        }
        RouterMessages.Addresses addresses =
                Json.read(answer.body(), RouterMessages.Addresses.class);
        usable.clear();
        addresses.addresses().forEach(address -> usable.add(address.address()));
        expiry = transport.clock().instant().plusMillis(addresses.lifetimeMs());
        return !usable.isEmpty();
    }
}
