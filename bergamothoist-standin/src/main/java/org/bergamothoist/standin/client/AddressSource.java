package org.bergamothoist.standin.client;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Names the daemon that a request goes to. */
interface AddressSource {

    /** Returns the best address, or nothing if no daemon answered with one. */
    CompletableFuture<Optional<String>> address();

    /** Stops using an address until the next answer names it. */
    void failed(String address);

    /** Returns a source that always names the same daemon. */
    static AddressSource fixed(String address) {
        return new AddressSource() {
            @Override
            public CompletableFuture<Optional<String>> address() {
                return CompletableFuture.completedFuture(Optional.of(address));
            }

            @Override
            public void failed(String failedAddress) {
                // There is no other one.
            }
        };
    }
}
