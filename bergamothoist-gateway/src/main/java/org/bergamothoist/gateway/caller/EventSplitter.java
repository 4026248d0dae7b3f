package org.bergamothoist.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts an event stream into complete events, so that none is delivered in part or twice when the
 * stream goes on at another target.
 */
final class EventSplitter {

    private static final String IDENTIFIER = "id:";

    private final ByteBuf pending = Unpooled.buffer();
    private String lastEventId;

    /**
     * Adds bytes and returns all events that are now complete.
     *
     * @return possibly empty; the caller releases it
     */
    ByteBuf add(ByteBuf bytes) {
        pending.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        int end = endOfEvents();
        ByteBuf events = pending.readBytes(end - pending.readerIndex());
        pending.discardReadBytes();
        noteIdentifier(events.toString(StandardCharsets.UTF_8));
        return events;
    }

    /** Returns the index after the last blank line, or the reader index if there is none. */
    private int endOfEvents() {
        for (int index = pending.writerIndex() - 1; index > pending.readerIndex(); index--) {
            if (pending.getByte(index) != '\n') {
                continue;
            }
            int before = index - 1;
            if (pending.getByte(before) == '\r') {
                before--;
            }
            if (before >= pending.readerIndex() && pending.getByte(before) == '\n') {
                return index + 1;
            }
        }
        return pending.readerIndex();
    }

    private void noteIdentifier(String events) {
        int at = events.lastIndexOf(IDENTIFIER);
        while (at > 0 && events.charAt(at - 1) != '\n') {
            at = events.lastIndexOf(IDENTIFIER, at - 1);
        }
        if (at < 0) {
            return;
        }
        int end = events.indexOf('\n', at);
        lastEventId = events.substring(at + IDENTIFIER.length(), end).strip();
    }

    /** Drops an incomplete event, before the stream goes on at another target. */
    void dropIncomplete() {
        pending.clear();
    }

    /** Returns whether an event has begun that is not complete. */
    boolean isIncomplete() {
        return pending.isReadable();
    }

    /** Returns the identifier of the last complete event, or empty. */
    Optional<String> lastEventId() {
        return Optional.ofNullable(lastEventId);
    }
}
