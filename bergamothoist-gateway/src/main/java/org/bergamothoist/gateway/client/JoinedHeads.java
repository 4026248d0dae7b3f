package org.bergamothoist.gateway.client;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Recognises the head of an answer that follows on the unfinished head of another one. The decoder
 * reads both as one, whose status and headers are partly those of the first.
 */
final class JoinedHeads {

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d\\s+\\d{3}");

    private static final String PROTOCOL = "HTTP";

    private JoinedHeads() {}

    static boolean isJoined(HttpResponse head) {
        return !head.protocolVersion().protocolName().equals(PROTOCOL)
                || containsStatusLine(head.status().reasonPhrase())
                || isJoined(head.headers());
    }

    /** Returns whether headers or trailers contain the status line of another answer. */
    static boolean isJoined(HttpHeaders headers) {
        return headers.entries().stream().anyMatch(JoinedHeads::containsStatusLine);
    }

    private static boolean containsStatusLine(Map.Entry<String, String> header) {
        return containsStatusLine(header.getKey()) || containsStatusLine(header.getValue());
    }

    private static boolean containsStatusLine(String text) {
        return STATUS_LINE.matcher(text).find();
    }
}
