package org.bergamothoist.gateway.caller;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import org.bergamothoist.core.error.ErrorCode;

/** Sends the error responses that the relay generates itself, with a body in JSON. */
final class ErrorResponseSender {

    private static final double MILLISECONDS_PER_SECOND = 1_000.0;

    private ErrorResponseSender() {}

    static void send(CallerResponseWriter caller, ErrorResponse error) {
        ByteBuf body =
                Unpooled.copiedBuffer(body(error.code(), error.reason()), StandardCharsets.UTF_8);
        HttpResponse head =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(error.status()));
        head.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        error.retryAfter()
                .ifPresent(
                        delay -> head.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(delay)));
        caller.sendHead(head);
        caller.sendContent(body);
        caller.finish();
    }

    private static String body(ErrorCode code, String reason) {
        return "{\"code\":\"" + code + "\",\"reason\":\"" + escape(reason) + "\"}";
    }

    /** Escapes text that may come from exceptions, for a JSON string. */
    private static String escape(String text) {
        return new String(JsonStringEncoder.getInstance().quoteAsString(text));
    }

    private static String seconds(Duration delay) {
        return String.format(Locale.ROOT, "%.3f", delay.toMillis() / MILLISECONDS_PER_SECOND);
    }
}
