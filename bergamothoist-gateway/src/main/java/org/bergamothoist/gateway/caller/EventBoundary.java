package org.bergamothoist.gateway.caller;

import io.netty.buffer.ByteBuf;

/** Follows an event stream to find out whether its bytes end with a whole event. */
final class EventBoundary {

    private boolean lineEmpty = true;
    private boolean insideEvent;
    private boolean wholeEvents;

    /** Follows further bytes, which stay readable. */
    void add(ByteBuf bytes) {
        for (int index = bytes.readerIndex(); index < bytes.writerIndex(); index++) {
            byte next = bytes.getByte(index);
            if (next == '\n') {
                wholeEvents |= insideEvent && lineEmpty;
                insideEvent &= !lineEmpty;
                lineEmpty = true;
            } else if (next != '\r') {
                insideEvent = true;
                lineEmpty = false;
            }
        }
    }

    /** Returns whether the bytes contain a whole event. */
    boolean hasWholeEvents() {
        return wholeEvents;
    }

    /** Returns whether the last event is not ended by a blank line. */
    boolean isInsideEvent() {
        return insideEvent;
    }
}
