package org.bergamothoist.gateway.caller;

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

/** Answers that the relay gives itself. */
final class OwnAnswers {

    private static final double MILLISECONDS_PER_SECOND = 1_000.0;

    private OwnAnswers() {}

    static void send(CallerChannel caller, Refusal refusal) {
        ByteBuf body =
                Unpooled.copiedBuffer(
                        body(refusal.code(), refusal.reason()), StandardCharsets.UTF_8);
        HttpResponse head =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(refusal.status()));
        head.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        refusal.retryAfter()
                .ifPresent(
                        pause -> head.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(pause)));
        caller.sendHead(head);
        caller.sendContent(body);
        caller.finish();
    }

    private static String body(ErrorCode code, String reason) {
        return "{\"code\":\"" + code + "\",\"reason\":\"" + reason + "\"}";
    }

    private static String seconds(Duration pause) {
        return String.format(Locale.ROOT, "%.3f", pause.toMillis() / MILLISECONDS_PER_SECOND);
    }
}
