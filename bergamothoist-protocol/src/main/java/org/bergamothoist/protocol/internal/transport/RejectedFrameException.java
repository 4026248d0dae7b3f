package org.bergamothoist.protocol.internal.transport;

import org.bergamothoist.protocol.ProtocolException;

/** Reports that a frame was rejected for another reason than its form. */
final class RejectedFrameException extends ProtocolException {

    private final TransportMetrics.Rejection rejection;

    RejectedFrameException(TransportMetrics.Rejection rejection) {
        super("frame rejected: " + rejection);
        this.rejection = rejection;
    }

    TransportMetrics.Rejection rejection() {
        return rejection;
    }
}
