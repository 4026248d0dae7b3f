package org.bergamothoist.core.membership;

import java.time.Duration;
import java.util.List;

/**
 * Addresses that a caller should use, best first.
 *
 * @param lifetime time for which the caller may keep the answer
 */
public record AddressAnswer(List<Address> addresses, Duration lifetime) {

    public AddressAnswer {
        addresses = List.copyOf(addresses);
    }

    /** An address of a daemon, {@code host:port}. */
    public record Address(String address, String dataCentre) {}
}
