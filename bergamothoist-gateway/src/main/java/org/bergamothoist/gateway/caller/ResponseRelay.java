package org.bergamothoist.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import org.bergamothoist.gateway.wire.BodyFraming;
import org.bergamothoist.gateway.wire.EndToEndHeaders;
import org.bergamothoist.gateway.wire.WireDialect;

/**
 * Relays a target's response to the caller. Of resumable streams only complete server-sent events
 * are relayed, so that another target can continue after any of them.
 */
final class ResponseRelay {

    private final WireDialect dialect;
    private final CallerResponseWriter caller;
    private ServerSentEventBuffer events;
    private int status;
    private long bytes;

    ResponseRelay(WireDialect dialect, CallerResponseWriter caller) {
        this.dialect = dialect;
        this.caller = caller;
    }

    /**
     * Sends the head of the response.
     *
     * @param resumable whether the response is an event stream that another target may continue
     */
    void start(HttpResponse head, boolean resumable) {
        status = head.status().code();
        HttpHeaders headers = EndToEndHeaders.of(head.headers(), dialect::isNeverHopByHop);
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status(), headers);
        if (resumable) {
            events = new ServerSentEventBuffer();
        }
        if (HttpUtil.isContentLengthSet(head) && !resumable) {
            headers.set(
                    HttpHeaderNames.CONTENT_LENGTH,
                    head.headers().get(HttpHeaderNames.CONTENT_LENGTH));
        } else if (caller.acceptsChunkedEncoding() && !BodyFraming.isBodyless(head.status())) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        caller.sendHead(response);
    }

    boolean isStarted() {
        return status != 0;
    }

    boolean isResumable() {
        return events != null;
    }

    void relayContent(ByteBuf content) {
        bytes += content.readableBytes();
        if (events == null) {
            caller.sendContent(content.retain());
            return;
        }
        ByteBuf complete = events.add(content);
        if (complete.isReadable()) {
            caller.sendContent(complete);
        } else {
            complete.release();
        }
    }

    /** Returns whether the target has sent only part of an event. */
    boolean hasIncompleteEvent() {
        return events != null && events.hasIncompleteEvent();
    }

    void complete() {
        caller.finish();
    }

    void discardIncompleteEvent() {
        if (events != null) {
            events.discardIncomplete();
        }
    }

    Optional<String> lastEventId() {
        return events == null ? Optional.empty() : events.lastEventId();
    }

    boolean isWritable() {
        return caller.isWritable();
    }

    String statusAndBytes() {
        return "status=" + status + " bytes=" + bytes;
    }
}
