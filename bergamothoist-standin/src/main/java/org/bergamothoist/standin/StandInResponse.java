package org.bergamothoist.standin;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;
import org.bergamothoist.standin.internal.Json;

/** Answers one request, at once or later; to be used on the server's event loop. */
public final class StandInResponse {

    private static final byte[] EMPTY = new byte[0];

    private final Channel channel;
    private final boolean keepAlive;

    StandInResponse(Channel channel, boolean keepAlive) {
        this.channel = channel;
        this.keepAlive = keepAlive;
    }

    /** Answers with a JSON body. */
    public void json(int status, Object body) {
        send(status, Map.of("Content-Type", "application/json"), Json.write(body));
    }

    /** Answers with a JSON body {@code {message}}. */
    public void message(int status, String message) {
        json(status, Map.of("message", message));
    }

    /** Answers without a body. */
    public void empty(int status) {
        send(status, Map.of(), EMPTY);
    }

    /** Answers with the given headers and body. */
    public void send(int status, Map<String, String> headers, byte[] body) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body));
        headers.forEach(response.headers()::set);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        announceClose(response);
        ChannelFuture written = channel.writeAndFlush(response);
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Answers 200 with a stream of server-sent events. */
    public StandInEventStream events() {
        DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        HttpHeaders headers = response.headers();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
        headers.set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_STORE);
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        announceClose(response);
        channel.writeAndFlush(response);
        return new StandInEventStream(channel, keepAlive);
    }

    /** Resets the connection without an answer. */
    public void reset() {
        StandInHttpServer.reset(channel);
    }

    private void announceClose(HttpResponse response) {
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }
}
