package org.bergamothoist.standin.client;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.bergamothoist.standin.internal.Json;

/** The addresses that the router named, kept for the lifetime of its answer. */
final class AddressBook {

    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(2);

    private final CallerTransport transport;
    private final String organisation;
    private final List<String> knownAddresses;
    private final List<String> usable = new ArrayList<>();
    private Instant expiry = Instant.MIN;
    private int nextKnown;
    private CompletableFuture<Optional<String>> asking = CompletableFuture.completedFuture(null);

    /**
     * Creates an empty book.
     *
     * @param knownAddresses addresses to ask at first, as {@code host:port}
     */
    AddressBook(CallerTransport transport, String organisation, List<String> knownAddresses) {
        this.transport = transport;
        this.organisation = organisation;
        this.knownAddresses = List.copyOf(knownAddresses);
    }

    /** Returns the best address, or nothing if no daemon answered with one. */
    synchronized CompletableFuture<Optional<String>> address() {
        Optional<String> kept = kept();
        if (kept.isPresent()) {
            return CompletableFuture.completedFuture(kept);
        }
        // Requests that begin at the same time share one question.
        if (asking.isDone()) {
            asking = ask(knownAddresses.size());
        }
        return asking;
    }

    /** Stops using an address until the next answer names it. */
    synchronized void failed(String address) {
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
                        CallerTransport.request(nextKnown(), "/v1/addresses", organisation)
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
        return knownAddresses.get(nextKnown++ % knownAddresses.size());
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
