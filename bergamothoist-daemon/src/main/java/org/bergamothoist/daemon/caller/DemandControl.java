package org.bergamothoist.daemon.caller;

import org.bergamothoist.core.request.StreamHandle;

/**
 * Requests pieces only as far as they fit into the buffer of a caller's connection. Once the caller
 * is gone, pieces are dropped as they come, so that a request that must run to its end is not held
 * up.
 */
final class DemandControl {

    /** Bytes buffered for each stream; the container's output buffer of 8 KiB comes on top. */
    static final int BUFFER_BYTES = 48 * 1024;

    /** Largest piece that the adapters deliver, in bytes. */
    static final int LARGEST_PIECE_BYTES = 16 * 1024;

    private final CallerConnection connection;
    private StreamHandle handle;
    private int outstanding;

    DemandControl(CallerConnection connection) {
        this.connection = connection;
    }

    /**
     * Connects the stream with its caller and requests its first pieces.
     *
     * @param idempotent whether the stream is cancelled if the caller closes its connection; a
     *     request that must not run twice runs to its end
     */
    void attach(StreamHandle stream, boolean idempotent) {
        synchronized (this) {
            handle = stream;
        }
        connection.react(
                this::replenish,
                () -> {
                    if (idempotent) {
                        stream.cancel();
                    }
                    replenish();
                });
        connection.watchForClose();
        replenish();
    }

    /** Counts a piece that was delivered. */
    void delivered() {
        synchronized (this) {
            outstanding--;
        }
    }

    /** Requests as many pieces as there is room for. */
    void replenish() {
        StreamHandle stream;
        int more;
        synchronized (this) {
            stream = handle;
            int room = (BUFFER_BYTES - connection.bufferedBytes()) / LARGEST_PIECE_BYTES;
            more = room - outstanding;
            if (stream == null || more <= 0) {
                return;
            }
            outstanding += more;
        }
        stream.request(more);
    }
}
