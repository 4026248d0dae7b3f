package org.bergamothoist.protocol.internal.transport;

import java.io.ByteArrayOutputStream;
import org.bergamothoist.protocol.ProtocolException;

/** Puts the parts of a long message together. The memory of all connections is bounded. */
final class MessageAssembler {

    private final TransportContext context;
    private ByteArrayOutputStream parts = new ByteArrayOutputStream();

    MessageAssembler(TransportContext context) {
        this.context = context;
    }

    /**
     * Adds a frame and returns the message that it completes, or null. Whole messages may come
     * between the parts of another one.
     *
     * @throws RejectedFrameException if the message is too long
     */
    byte[] add(Frame frame) {
        return switch (frame.kind()) {
            case MESSAGE -> frame.payload();
            case PART -> {
                append(frame.payload());
                yield null;
            }
            case LAST_PART -> {
                append(frame.payload());
                byte[] message = parts.toByteArray();
                discard();
                yield message;
            }
            case HELLO -> throw new ProtocolException("a second hello");
        };
    }

    /** Drops the parts. */
    void discard() {
        context.releaseReassembly(parts.size());
        parts = new ByteArrayOutputStream();
    }

    private void append(byte[] payload) {
        if (!context.reserveReassembly(payload.length)) {
            throw new RejectedFrameException(TransportMetrics.Rejection.OVERSIZED);
        }
        parts.writeBytes(payload);
    }
}
