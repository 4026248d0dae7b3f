package org.bergamothoist.standin.client;

import java.util.concurrent.CompletableFuture;

/**
 * Sends completions as one caller. It resumes a lost stream at another daemon, retries what did not
 * run, and checks each answer against the text that engine stand-ins generate.
 */
public final class CompletionCaller {

    private final CallerTransport transport;
    private final CallerSettings settings;
    private final AddressBook addresses;

    /** Creates a caller without asking for addresses yet. */
    public CompletionCaller(CallerTransport transport, CallerSettings settings) {
        this.transport = transport;
        this.settings = settings;
        this.addresses =
                new AddressBook(transport, settings.organisation(), settings.knownAddresses());
    }

    /** Sends a completion; the result never fails, but has an outcome and violations. */
    public CompletableFuture<CompletionResult> complete(CompletionRequest request) {
        return new CompletionCall(transport, settings, addresses, request).run();
    }
}
