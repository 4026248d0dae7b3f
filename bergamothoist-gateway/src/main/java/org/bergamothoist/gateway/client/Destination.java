package org.bergamothoist.gateway.client;

import java.util.Optional;

/**
 * Where a request goes, and what its answer repeats.
 *
 * @param address IP address and port
 * @param peer name of the peer at the address, such as the identifier of a target
 * @param requestId identifier that the answer repeats, or empty if requests have none
 */
public record Destination(String address, String peer, Optional<String> requestId) {

    /** Creates the destination of a call without an identifier. */
    static Destination of(String address) {
        return new Destination(address, address, Optional.empty());
    }
}
