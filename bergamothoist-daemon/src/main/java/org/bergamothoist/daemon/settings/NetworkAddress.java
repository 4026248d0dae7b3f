package org.bergamothoist.daemon.settings;

import java.util.Objects;

/**
 * An IP address and a TCP port.
 *
 * @param host IP address in text form
 * @param port TCP port; 0 lets the operating system choose one
 */
public record NetworkAddress(String host, int port) {

    public NetworkAddress {
        Objects.requireNonNull(host);
    }

    /** Returns the same host with the port that was bound. */
    public NetworkAddress withPort(int boundPort) {
        return new NetworkAddress(host, boundPort);
    }

    /** Returns {@code host:port}, with brackets around an IPv6 address. */
    @Override
    public String toString() {
        return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + port;
    }
}
