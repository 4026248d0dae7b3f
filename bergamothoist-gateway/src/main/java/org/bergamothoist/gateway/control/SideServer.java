package org.bergamothoist.gateway.control;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.SocketAddress;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;

/** Serves small calls: readiness, addresses, metrics, and records for other daemons. */
public final class SideServer {

    /** Size of a call's body, in bytes: these calls have none or a short one. */
    private static final int MOST_BODY_BYTES = 16_384;

    /** Time without a call after which a connection is closed. */
    private static final int IDLE_SECONDS = 30;

    private static final int NOT_FOUND = 404;

    private final EventLoop eventLoop;
    private final Map<String, SideHandler> handlers;
    private final DecisionLog log;

    /** Answers a call. */
    @FunctionalInterface
    public interface SideHandler {

        /**
         * Answers a call.
         *
         * @param parameters the query's parameters
         */
        SideAnswer answer(Map<String, List<String>> parameters, byte[] body);
    }

    /** An answer to a call. */
    public record SideAnswer(int status, String contentType, byte[] body) {}

    /**
     * Creates a server that does not listen yet.
     *
     * @param handlers handlers by path
     */
    public SideServer(EventLoop eventLoop, Map<String, SideHandler> handlers, DecisionLog log) {
        this.eventLoop = eventLoop;
        this.handlers = Map.copyOf(handlers);
        this.log = log;
    }

    /** Starts to listen. */
    public ChannelFuture listen(SocketAddress address) {
        return new ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(new IdleStateHandler(0, 0, IDLE_SECONDS))
                                        .addLast(new HttpServerCodec())
                                        .addLast(new HttpObjectAggregator(MOST_BODY_BYTES))
                                        .addLast(new CallHandler());
                            }
                        })
                .bind(address);
    }

    private final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest call) {
            QueryStringDecoder target = new QueryStringDecoder(call.uri());
            SideHandler handler = handlers.get(target.path());
            SideAnswer answer =
                    handler == null
                            ? new SideAnswer(NOT_FOUND, "text/plain", new byte[0])
                            : handler.answer(
                                    target.parameters(), ByteBufUtil.getBytes(call.content()));
            var response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(answer.status()),
                            Unpooled.wrappedBuffer(answer.body()));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, answer.contentType())
                    .set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
            boolean kept = HttpUtil.isKeepAlive(call);
            if (!kept) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            ChannelFuture written = context.writeAndFlush(response);
            if (!kept) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            context.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.write(
                    DecisionKind.CALLER_FAULT,
                    String.valueOf(context.channel().remoteAddress()),
                    () -> "" + cause,
                    "side connection closed");
            context.close();
        }
    }
}
