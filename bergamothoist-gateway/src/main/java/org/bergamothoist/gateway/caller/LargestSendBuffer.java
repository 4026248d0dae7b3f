package org.bergamothoist.gateway.caller;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;

/** The largest send buffer that the kernel allows for a connection. */
final class LargestSendBuffer {

    /** More than kernels allow, so that a socket gets as much as its kernel allows. */
    private static final int REQUESTED_BYTES = 64 << 20;

    private LargestSendBuffer() {}

    /**
     * Returns the largest size. It is tried on a socket without a connection: a socket whose buffer
     * the kernel has raised beyond the limit by itself would get a smaller one.
     */
    static int bytes() throws IOException {
        try (SocketChannel socket = SocketChannel.open()) {
            socket.setOption(StandardSocketOptions.SO_SNDBUF, REQUESTED_BYTES);
            return socket.getOption(StandardSocketOptions.SO_SNDBUF);
        }
    }
}
