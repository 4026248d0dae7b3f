package org.bergamothoist.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.route.CallerLimits;
import org.bergamothoist.gateway.wire.Framing;
import org.bergamothoist.gateway.wire.MalformedRequestException;
import org.bergamothoist.gateway.wire.RequestHead;

/** A caller's connection: reads requests and answers them one after the other. */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerChannel {

    /** Messages of later requests that are kept while one is answered; a bound on memory. */
    private static final int MOST_WAITING = 256;

    private static final int BAD_REQUEST = 400;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int URI_TOO_LONG = 414;
    private static final int HEADERS_TOO_LARGE = 431;

    private final ExchangeServices services;
    private final CallerServer server;
    private final Deque<HttpObject> waiting = new ArrayDeque<>();
    private Channel channel;
    private Exchange exchange;
    private HttpRequest request;
    private ByteBuf body;
    private boolean receiving;
    private boolean answering;
    private boolean closeAfterAnswer;
    private Instant firstByteAt;
    private Instant activeAt;

    CallerConnection(ExchangeServices services, CallerServer server) {
        this.services = services;
        this.server = server;
        this.activeAt = services.clock().instant();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        server.add(this);
    }

    /** Notes bytes from the caller, before they are decoded. */
    void onBytes() {
        activeAt = services.clock().instant();
        if (firstByteAt == null && !receiving) {
            firstByteAt = activeAt;
        }
    }

    /** Closes the connection if the caller exceeds its time. */
    void checkTimes(CallerLimits limits, Instant now) {
        if (answering) {
            activeAt = now;
            return;
        }
        boolean slowHead =
                firstByteAt != null && now.isAfter(firstByteAt.plus(limits.headerTimeout()));
        boolean idle = now.isAfter(activeAt.plus(limits.idleTimeout()));
        if (slowHead || idle && receiving) {
            reject(REQUEST_TIMEOUT, "request not received in time");
        } else if (idle) {
            channel.close();
        }
    }

    /** Ends the connection as soon as no request is in progress. */
    void closeWhenIdle() {
        closeAfterAnswer = true;
        if (!answering && !receiving && firstByteAt == null) {
            channel.close();
        }
    }

    boolean isBusy() {
        return answering || receiving;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        HttpObject part = (HttpObject) message;
        if (answering && !receiving || !waiting.isEmpty()) {
            waiting.add(part);
            if (waiting.size() > MOST_WAITING) {
                channel.config().setAutoRead(false);
            }
            return;
        }
        process(part);
    }

    private void process(HttpObject part) {
        try {
            if (part.decoderResult().isFailure()) {
                rejectUndecodable(part.decoderResult().cause());
                return;
            }
            if (part instanceof HttpRequest head) {
                onRequest(head);
            }
            if (part instanceof HttpContent content) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void rejectUndecodable(Throwable cause) {
        int status = BAD_REQUEST;
        if (cause instanceof TooLongHttpLineException) {
            status = URI_TOO_LONG;
        } else if (cause instanceof TooLongHttpHeaderException) {
            status = HEADERS_TOO_LARGE;
        }
        reject(status, "" + cause.getMessage());
    }

    private void reject(int status, String reason) {
        services.log()
                .write(
                        DecisionKind.CALLER_FAULT,
                        String.valueOf(channel.remoteAddress()),
                        () -> reason,
                        String.valueOf(status));
        if (answering) {
            if (exchange != null) {
                exchange.onCallerGone();
            }
            channel.close();
            return;
        }
        answering = true;
        receiving = false;
        closeAfterAnswer = true;
        OwnAnswers.send(this, Refusal.of(status, ErrorCode.INVALID_REQUEST, "malformed request"));
    }

    private void onRequest(HttpRequest head) {
        firstByteAt = null;
        request = head;
        exchange = null;
        receiving = true;
        answering = true;
        RequestHead typed;
        try {
            typed = services.dialect().readRequest(head);
        } catch (MalformedRequestException exception) {
            answering = false;
            reject(BAD_REQUEST, exception.getMessage());
            return;
        }
        closeAfterAnswer = server.isClosing() || !HttpUtil.isKeepAlive(head);
        RequestContext context = new RequestContext(typed, services.clock().instant());
        exchange = new Exchange(services, context, head.headers(), this);
        if (!exchange.begin()) {
            return;
        }
        if (HttpUtil.is100ContinueExpected(head)) {
            channel.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        body = Unpooled.buffer(0);
    }

    private void onContent(HttpContent content) {
        if (exchange == null) {
            return;
        }
        boolean wanted = body != null && !exchange.isEnded();
        if (wanted && !takeBody(content.content())) {
            return;
        }
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        receiving = false;
        if (wanted) {
            ByteBuf complete = body;
            body = null;
            exchange.dispatch(complete, Framing.isStated(request));
        } else if (exchange.isEnded() && !answering) {
            next();
        }
    }

    private boolean takeBody(ByteBuf piece) {
        if (body.readableBytes() + piece.readableBytes() > server.limits().bodyBytes()) {
            exchange.onCallerGone();
            answering = false;
            reject(CONTENT_TOO_LARGE, "body larger than " + server.limits().bodyBytes());
            return false;
        }
        body.writeBytes(piece);
        return true;
    }

    @Override
    public void sendHead(HttpResponse head) {
        if (server.isClosing()) {
            closeAfterAnswer = true;
        }
        if (!Framing.endsBeforeConnection(head)) {
            closeAfterAnswer = true;
        }
        if (closeAfterAnswer) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.writeAndFlush(head);
    }

    @Override
    public void sendContent(ByteBuf content) {
        channel.writeAndFlush(new DefaultHttpContent(content));
    }

    @Override
    public void finish() {
        answering = false;
        activeAt = services.clock().instant();
        var written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        if (closeAfterAnswer) {
            written.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        if (!receiving) {
            // The target's connection returns to its pool before the next request is sent.
            channel.eventLoop().execute(this::next);
        }
    }

    /** Goes on with what came while the last request was answered. */
    private void next() {
        if (answering || receiving) {
            return;
        }
        exchange = null;
        channel.config().setAutoRead(true);
        while (!waiting.isEmpty() && (!answering || receiving)) {
            process(waiting.poll());
        }
    }

    @Override
    public void breakOff() {
        channel.close();
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }

    @Override
    public boolean acceptsChunks() {
        return request.protocolVersion().isKeepAliveDefault();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (channel.isWritable() && exchange != null) {
            exchange.onWritable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.remove(this);
        if (exchange != null) {
            exchange.onCallerGone();
        }
        if (body != null) {
            body.release();
            body = null;
        }
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        services.log()
                .write(
                        DecisionKind.CALLER_FAULT,
                        String.valueOf(context.channel().remoteAddress()),
                        () -> "" + cause,
                        "connection closed");
        context.close();
    }
}
