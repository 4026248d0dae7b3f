package org.bergamothoist.standin.client;

import java.util.concurrent.CompletableFuture;

/**
 * Sends completions as one caller. It resumes a lost stream at another daemon, retries what did not
 * run, and checks each answer against the text that engine stand-ins generate.
 */
public final class CompletionCaller {

    private final CallerTransport transport;
    private final CallerSettings settings;
    private final AddressSource addresses;

    /** Creates a caller without asking for addresses yet. */
    public CompletionCaller(CallerTransport transport, CallerSettings settings) {
        this(transport, settings, new AddressBook(transport, settings));
    }

    private CompletionCaller(
            CallerTransport transport, CallerSettings settings, AddressSource addresses) {
        this.transport = transport;
        this.settings = settings;
        this.addresses = addresses;
    }

    /** Returns a caller that uses the first known address only, to measure a single daemon. */
    public static CompletionCaller pinned(CallerTransport transport, CallerSettings settings) {
        String address = settings.knownAddresses().get(0);
        return new CompletionCaller(transport, settings, AddressSource.fixed(address));
    }

    /** Sends a completion; the result never fails, but has an outcome and violations. */
    public CompletableFuture<CompletionResult> complete(CompletionRequest request) {
        return new CompletionCall(transport, settings, addresses, request).run();
    }
}
