package org.bergamothoist.protocol.internal.transport;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.timeline.Timeline;

/** What all connections of one daemon share. */
public final class TransportContext {

    /** Longest frame after authentication, in bytes. */
    static final int MAXIMUM_FRAME_BYTES = 1 << 20;

    /** Longest message, in bytes; longer than a frame only for snapshots. */
    static final int MAXIMUM_MESSAGE_BYTES = 64 << 20;

    private final DaemonId daemon;
    private final String address;
    private final int port;
    private final byte[] key;
    private final Timeline timeline;
    private final TransportMetrics metrics;
    private final long startedAt = System.nanoTime();
    private final AtomicLong outboundBytes = new AtomicLong();
    private final AtomicLong reassemblyBytes = new AtomicLong();

    public TransportContext(
            DaemonId daemon,
            String address,
            int port,
            byte[] key,
            Timeline timeline,
            TransportMetrics metrics) {
        this.daemon = daemon;
        this.address = address;
        this.port = port;
        this.key = key.clone();
        this.timeline = timeline;
        this.metrics = metrics;
    }

    /** Returns the peer address of this daemon. */
    public String address() {
        return address;
    }

    /** Returns the port that this daemon listens on. */
    public int port() {
        return port;
    }

    /** Returns milliseconds since the start; never steps back. */
    public long uptime() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
    }

    DaemonId daemon() {
        return daemon;
    }

    byte[] key() {
        return key;
    }

    Timeline timeline() {
        return timeline;
    }

    TransportMetrics metrics() {
        return metrics;
    }

    /** Reserves memory for queued messages of all connections; false if there is none left. */
    boolean reserveOutbound(int bytes) {
        return reserve(outboundBytes, bytes);
    }

    void releaseOutbound(int bytes) {
        outboundBytes.addAndGet(-bytes);
    }

    /** Reserves memory for messages being put together; false if there is none left. */
    boolean reserveReassembly(int bytes) {
        return reserve(reassemblyBytes, bytes);
    }

    void releaseReassembly(int bytes) {
        reassemblyBytes.addAndGet(-bytes);
    }

    private static boolean reserve(AtomicLong reserved, int bytes) {
        if (reserved.addAndGet(bytes) <= MAXIMUM_MESSAGE_BYTES) {
            return true;
        }
        reserved.addAndGet(-bytes);
        return false;
    }
}
