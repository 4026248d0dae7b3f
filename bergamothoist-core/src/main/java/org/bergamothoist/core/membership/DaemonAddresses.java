package org.bergamothoist.core.membership;

import java.time.Duration;
import java.util.List;

/**
 * The daemons that a caller should connect to.
 *
 * @param addresses in order of preference
 * @param lifetime time for which the caller may cache the addresses
 */
public record DaemonAddresses(List<Address> addresses, Duration lifetime) {

    public DaemonAddresses {
        addresses = List.copyOf(addresses);
    }

    /** Caller-facing address of a daemon, {@code host:port}, and the daemon's data centre. */
    public record Address(String address, String dataCentre) {}
}
