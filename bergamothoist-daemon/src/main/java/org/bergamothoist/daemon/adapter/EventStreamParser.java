package org.bergamothoist.daemon.adapter;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;

/** Splits a stream of bytes into server-sent events. */
final class EventStreamParser {

    /** Largest event, in bytes; a token's text with its fields is far smaller. */
    static final int MAXIMUM_EVENT_BYTES = 16 * 1024;

    private static final String DEFAULT_EVENT = "message";

    private final BiConsumer<String, String> consumer;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private String event = DEFAULT_EVENT;
    private int eventBytes;

    /**
     * Creates a parser.
     *
     * @param consumer receives name and data of each event
     */
    EventStreamParser(BiConsumer<String, String> consumer) {
        this.consumer = consumer;
    }

    /**
     * Parses further bytes.
     *
     * @throws IllegalArgumentException if an event is too large
     */
    void parse(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            if (next == '\n') {
                endLine();
                continue;
            }
            eventBytes++;
            if (eventBytes > MAXIMUM_EVENT_BYTES) {
                throw new IllegalArgumentException(
                        "event is larger than " + MAXIMUM_EVENT_BYTES + " bytes");
            }
            line.write(next);
        }
    }

    private void endLine() {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (text.endsWith("\r")) {
            text = text.substring(0, text.length() - 1);
        }
        if (text.isEmpty()) {
            endEvent();
            return;
        }
        int colon = text.indexOf(':');
        String field = colon < 0 ? text : text.substring(0, colon);
        String value = colon < 0 ? "" : text.substring(colon + 1);
        field(field, value.startsWith(" ") ? value.substring(1) : value);
    }

    private void field(String field, String value) {
        if ("event".equals(field)) {
            event = value;
        } else if ("data".equals(field)) {
            data.append(data.isEmpty() ? "" : "\n").append(value);
        }
    }

    private void endEvent() {
        String name = event;
        String content = data.toString();
        event = DEFAULT_EVENT;
        data.setLength(0);
        eventBytes = 0;
        if (!content.isEmpty()) {
            consumer.accept(name, content);
        }
    }
}
