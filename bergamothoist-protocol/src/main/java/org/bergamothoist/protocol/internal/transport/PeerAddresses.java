package org.bergamothoist.protocol.internal.transport;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Parses peer addresses. Only IP numbers are accepted, so that no name lookup can block. */
public final class PeerAddresses {

    private static final int MAXIMUM_PORT = 65_535;

    private PeerAddresses() {}

    /** Returns the socket address of {@code host:port}, or null if it is not well-formed. */
    public static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 0) {
            return null;
        }
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            return port < 1 || port > MAXIMUM_PORT
                    ? null
                    : parse(address.substring(0, colon), port);
        } catch (IllegalArgumentException malformed) {
            return null;
        }
    }

    /**
     * Returns the socket address of an IP number and a port.
     *
     * @throws IllegalArgumentException if the host is not an IP number
     */
    public static InetSocketAddress parse(String host, int port) {
        InetAddress address = NetUtil.createInetAddressFromIpAddressString(host);
        if (address == null) {
            throw new IllegalArgumentException("not an IP number: " + host);
        }
        return new InetSocketAddress(address, port);
    }

    /** Returns the text form, with brackets around a host that has colons. */
    public static String format(String host, int port) {
        boolean bare = host.indexOf(':') >= 0 && !host.startsWith("[");
        return (bare ? "[" + host + "]" : host) + ":" + port;
    }
}
