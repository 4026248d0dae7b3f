package org.bergamothoist.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Buffers a stream of server-sent events and returns only complete ones, so that no event is
 * delivered in part or twice when another target continues the stream.
 */
final class ServerSentEventBuffer {

    /** Size of one event, in bytes, beyond which the bytes are taken for no event stream. */
    static final int MAXIMUM_EVENT_BYTES = 256 << 10;

    /** Capacity of the buffer, in bytes, that is kept after a large event. */
    private static final int MAXIMUM_KEPT_CAPACITY = 4 << 10;

    private static final String ID_FIELD = "id:";

    private final ByteBuf pending = Unpooled.buffer();
    private String lastEventId;

    /**
     * Adds bytes and returns all events that are now complete.
     *
     * @return the events, possibly none; to be released by the calling method
     */
    ByteBuf add(ByteBuf bytes) {
        int searched = pending.writerIndex();
        pending.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        int end = endOfLastCompleteEvent(searched);
        ByteBuf events = pending.readBytes(end - pending.readerIndex());
        pending.discardReadBytes();
        if (!pending.isReadable() && pending.capacity() > MAXIMUM_KEPT_CAPACITY) {
            pending.capacity(MAXIMUM_KEPT_CAPACITY);
        }
        recordLastEventId(events.toString(StandardCharsets.UTF_8));
        return events;
    }

    /**
     * Returns the index after the last blank line, or the reader index if there is none.
     *
     * @param searched index before which no blank line ends
     */
    private int endOfLastCompleteEvent(int searched) {
        int first = Math.max(searched, pending.readerIndex() + 1);
        for (int index = pending.writerIndex() - 1; index >= first; index--) {
            if (pending.getByte(index) != '\n') {
                continue;
            }
            int previous = index - 1;
            if (pending.getByte(previous) == '\r') {
                previous--;
            }
            if (previous >= pending.readerIndex() && pending.getByte(previous) == '\n') {
                return index + 1;
            }
        }
        return pending.readerIndex();
    }

    private void recordLastEventId(String events) {
        int idStart = events.lastIndexOf(ID_FIELD);
        while (idStart > 0 && events.charAt(idStart - 1) != '\n') {
            idStart = events.lastIndexOf(ID_FIELD, idStart - 1);
        }
        if (idStart < 0) {
            return;
        }
        int end = events.indexOf('\n', idStart);
        lastEventId = events.substring(idStart + ID_FIELD.length(), end).strip();
    }

    /** Discards an incomplete event, before another target continues the stream. */
    void discardIncomplete() {
        pending.clear();
    }

    /** Returns whether the incomplete event is larger than any event may be. */
    boolean isOversized() {
        return pending.readableBytes() > MAXIMUM_EVENT_BYTES;
    }

    int pendingBytes() {
        return pending.readableBytes();
    }

    /** Returns whether the buffer holds an incomplete event. */
    boolean hasIncompleteEvent() {
        return pending.isReadable();
    }

    /** Returns the last identifier among the complete events, or empty if none had one. */
    Optional<String> lastEventId() {
        return Optional.ofNullable(lastEventId);
    }
}
