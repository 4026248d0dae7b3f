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

/**
 * Serves the small HTTP endpoints of a daemon: readiness, addresses, metrics, and records for other
 * daemons.
 */
public final class AuxiliaryHttpServer {

    /** Maximum size of a request body; these requests have none or a short one. */
    private static final int MAXIMUM_BODY_BYTES = 16_384;

    /** Time without traffic after which a connection is closed. */
    private static final int IDLE_TIMEOUT_SECONDS = 30;

    private static final int NOT_FOUND = 404;

    private final EventLoop eventLoop;
    private final Map<String, Handler> handlers;
    private final DecisionLog log;

    /** Handles the requests to a path. */
    @FunctionalInterface
    public interface Handler {

        /**
         * Handles a request.
         *
         * @param parameters the query's parameters
         * @param body the request's body, may be empty
         */
        Response handle(Map<String, List<String>> parameters, byte[] body);
    }

    /** A response to a request. */
    public record Response(int status, String contentType, byte[] body) {}

    /**
     * Creates a server that does not listen yet.
     *
     * @param handlers handlers by path
     */
    public AuxiliaryHttpServer(
            EventLoop eventLoop, Map<String, Handler> handlers, DecisionLog log) {
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
                                        .addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_SECONDS))
                                        .addLast(new HttpServerCodec())
                                        .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                                        .addLast(new RequestHandler());
                            }
                        })
                .bind(address);
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            Handler handler = handlers.get(uri.path());
            Response response =
                    handler == null
                            ? new Response(NOT_FOUND, "text/plain", new byte[0])
                            : handler.handle(
                                    uri.parameters(), ByteBufUtil.getBytes(request.content()));
            var httpResponse =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(response.status()),
                            Unpooled.wrappedBuffer(response.body()));
            httpResponse
                    .headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, response.contentType())
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            if (!keepAlive) {
                httpResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            ChannelFuture writeFuture = context.writeAndFlush(httpResponse);
            if (!keepAlive) {
                writeFuture.addListener(ChannelFutureListener.CLOSE);
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
                    "auxiliary connection closed");
            context.close();
        }
    }
}
