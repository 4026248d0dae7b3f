package org.bergamothoist.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;
import java.util.Optional;
import org.bergamothoist.gateway.buffer.HeldBytes;
import org.bergamothoist.gateway.wire.BodyFraming;
import org.bergamothoist.gateway.wire.EndToEndHeaders;
import org.bergamothoist.gateway.wire.WireDialect;

/**
 * Relays a target's response to the caller. Of resumable streams only complete server-sent events
 * are relayed, so that another target can continue after any of them.
 */
final class ResponseRelay {

    private static final String EVENT_STREAM = "text/event-stream";

    private final WireDialect dialect;
    private final CallerResponseWriter caller;
    private final HeldBytes.Account account;
    private boolean refused;
    private ServerSentEventBuffer events;
    private int status;
    private long bytes;
    private boolean eventsRelayed;
    private String contentType = "";

    /** The end of the relayed bytes of an event stream that is not resumable, else null. */
    private EventBoundary eventBoundary;

    /**
     * Creates a relay that has sent nothing yet.
     *
     * @param account counts the bytes of incomplete events
     */
    ResponseRelay(WireDialect dialect, CallerResponseWriter caller, HeldBytes.Account account) {
        this.dialect = dialect;
        this.caller = caller;
        this.account = account;
    }

    /**
     * Sends the head of the response.
     *
     * @param resumable whether the response is an event stream that another target may continue
     */
    void start(HttpResponse head, boolean resumable) {
        status = head.status().code();
        contentType = contentType(head);
        HttpHeaders headers = EndToEndHeaders.of(head.headers(), dialect::isNeverHopByHop);
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status(), headers);
        if (resumable) {
            events = new ServerSentEventBuffer();
        } else if (contentType.startsWith(EVENT_STREAM)) {
            eventBoundary = new EventBoundary();
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

    private static String contentType(HttpResponse head) {
        return head.headers().get(HttpHeaderNames.CONTENT_TYPE, "").toLowerCase(Locale.ROOT);
    }

    /** Returns whether an answer may continue the one that was started. */
    boolean isContinuedBy(HttpResponse head) {
        return contentType(head).equals(contentType);
    }

    boolean isStarted() {
        return status != 0;
    }

    boolean isResumable() {
        return events != null;
    }

    /**
     * Relays bytes of the response; of a resumable stream, the events that they complete.
     *
     * @return whether anything was relayed
     */
    boolean relayContent(ByteBuf content) {
        bytes += content.readableBytes();
        if (events == null) {
            if (eventBoundary != null) {
                eventBoundary.add(content);
            }
            caller.sendContent(content.retain());
            return true;
        }
        ByteBuf complete = events.add(content);
        refused = !account.update(events.pendingBytes());
        boolean relayed = complete.isReadable();
        if (relayed) {
            eventsRelayed = true;
            caller.sendContent(complete);
        } else {
            complete.release();
        }
        return relayed;
    }

    /** Returns whether the caller has received events of a resumable stream. */
    boolean hasRelayedEvents() {
        return eventsRelayed;
    }

    /** Returns whether the response is an event stream of which not one whole event has come. */
    boolean isStreamWithoutEvent() {
        return events != null && !eventsRelayed
                || eventBoundary != null && !eventBoundary.hasWholeEvents();
    }

    /** Returns whether the incomplete event is too large, or no memory is left for it. */
    boolean hasOversizedEvent() {
        return events != null && refused || isEventTooLarge();
    }

    /** Returns whether the incomplete event is larger than any may be. */
    boolean isEventTooLarge() {
        return events != null && events.isOversized();
    }

    /** Returns whether the target has sent only part of an event. */
    boolean hasIncompleteEvent() {
        return events != null && events.hasIncompleteEvent()
                || eventBoundary != null && eventBoundary.isInsideEvent();
    }

    void complete() {
        caller.finish();
    }

    void discardIncompleteEvent() {
        if (events != null) {
            events.discardIncomplete();
            account.release();
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
