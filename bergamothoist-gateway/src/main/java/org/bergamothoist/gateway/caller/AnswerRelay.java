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
import org.bergamothoist.gateway.wire.EndToEnd;
import org.bergamothoist.gateway.wire.Framing;
import org.bergamothoist.gateway.wire.WireDialect;

/** Passes a target's answer on to the caller; for resumable streams by whole events. */
final class AnswerRelay {

    private final WireDialect dialect;
    private final CallerChannel caller;
    private EventSplitter events;
    private int status;
    private long bytes;

    AnswerRelay(WireDialect dialect, CallerChannel caller) {
        this.dialect = dialect;
        this.caller = caller;
    }

    /**
     * Sends the head of an answer.
     *
     * @param resumable whether the answer is an event stream that may go on at another target
     */
    void start(HttpResponse head, boolean resumable) {
        status = head.status().code();
        HttpHeaders headers = EndToEnd.of(head.headers(), dialect::isEssential);
        HttpResponse answer = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status(), headers);
        if (resumable) {
            events = new EventSplitter();
        }
        if (HttpUtil.isContentLengthSet(head) && !resumable) {
            headers.set(
                    HttpHeaderNames.CONTENT_LENGTH,
                    head.headers().get(HttpHeaderNames.CONTENT_LENGTH));
        } else if (caller.acceptsChunks() && !Framing.isBodyless(head.status())) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        caller.sendHead(answer);
    }

    boolean isStarted() {
        return status != 0;
    }

    boolean isResumable() {
        return events != null;
    }

    void content(ByteBuf content) {
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

    /** Returns whether an event has begun that the target has not completed. */
    boolean endsInsideAnEvent() {
        return events != null && events.isIncomplete();
    }

    void complete() {
        caller.finish();
    }

    void dropIncompleteEvent() {
        if (events != null) {
            events.dropIncomplete();
        }
    }

    Optional<String> lastEventId() {
        return events == null ? Optional.empty() : events.lastEventId();
    }

    boolean isWritable() {
        return caller.isWritable();
    }

    String describe() {
        return "status=" + status + " bytes=" + bytes;
    }
}
