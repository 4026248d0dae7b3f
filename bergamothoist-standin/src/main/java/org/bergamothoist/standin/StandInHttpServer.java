package org.bergamothoist.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.AttributeKey;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Serves HTTP/1.1 on an ephemeral loopback port. The listener, all connections and the state of the
 * handler belong to one event loop, so the handler needs no locks.
 */
public final class StandInHttpServer implements AutoCloseable {

    /** Largest request body in bytes; a larger one is answered with 413. */
    public static final int MAXIMUM_BODY_BYTES = 16 << 20;

    static final AttributeKey<Runnable> WRITABLE_ACTION = AttributeKey.valueOf("writable-action");

    private static final Logger LOGGER = LogManager.getLogger();
    private static final WriteBufferWaterMark WATER_MARK =
            new WriteBufferWaterMark(16 << 10, 32 << 10);

    /** An outgoing connection may hold the freed port for a moment when the server opens again. */
    private static final long BIND_RETRY_MILLISECONDS = 50;

    private final EventLoop loop;
    private final Handler handler;
    private final Set<Channel> connections = new HashSet<>();
    private Channel listener;
    private boolean closed;
    private volatile int port;

    /** Handles requests on the server's event loop. */
    @FunctionalInterface
    public interface Handler {
        /** Answers the request, at once or later. */
        void handle(StandInRequest request, StandInResponse response);
    }

    private StandInHttpServer(EventLoop loop, Handler handler) {
        this.loop = loop;
        this.handler = handler;
    }

    /** Starts a server on an ephemeral port. */
    public static StandInHttpServer start(EventLoopGroup group, Handler handler) {
        StandInHttpServer server = new StandInHttpServer(group.next(), handler);
        ChannelFuture bound = server.bind(0).syncUninterruptibly();
        server.call(
                () -> {
                    server.listener = bound.channel();
                    return null;
                });
        server.port = ((InetSocketAddress) bound.channel().localAddress()).getPort();
        return server;
    }

    /** Returns the TCP port, which stays the same when the server refuses and accepts again. */
    public int port() {
        return port;
    }

    /** Returns the address as {@code http://host:port}. */
    public String address() {
        return "http://127.0.0.1:" + port;
    }

    /** Closes the listener and resets all connections; clients are refused from now on. */
    public void refuse() {
        call(
                () -> {
                    closed = true;
                    if (listener != null) {
                        listener.close();
                        listener = null;
                    }
                    new ArrayList<>(connections).forEach(StandInHttpServer::reset);
                    return null;
                });
    }

    /** Listens again on the same port; returns at once when called on the event loop. */
    public void accept() {
        call(
                () -> {
                    closed = false;
                    return null;
                });
        ChannelFuture bound = bind(port).addListener(f -> opened((ChannelFuture) f));
        if (!loop.inEventLoop()) {
            bound.awaitUninterruptibly();
        }
    }

    @Override
    public void close() {
        refuse();
    }

    /** Runs an action on the event loop and returns its result; safe to call on the loop itself. */
    <T> T call(Callable<T> action) {
        if (loop.inEventLoop()) {
            try {
                return action.call();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }
        return loop.submit(action).syncUninterruptibly().getNow();
    }

    /** Runs an action on the event loop and waits for its end. */
    void run(Runnable action) {
        call(
                () -> {
                    action.run();
                    return null;
                });
    }

    /** Runs an action on the event loop after a delay. */
    void schedule(Duration delay, Runnable action) {
        loop.schedule(action, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Runs the action after the delay, or at once if the delay is zero. */
    void after(Duration delay, Runnable action) {
        if (delay.isZero()) {
            action.run();
            return;
        }
        schedule(delay, action);
    }

    static void reset(Channel channel) {
        if (channel.isActive()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.close();
    }

    private ChannelFuture bind(int wanted) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childHandler(new Initializer())
                .bind(InetAddress.getLoopbackAddress(), wanted);
    }

    private void opened(ChannelFuture bound) {
        if (bound.isSuccess() && !closed && listener == null) {
            listener = bound.channel();
        } else if (bound.isSuccess()) {
            bound.channel().close();
        } else if (!closed) {
            LOGGER.info("port {} is still taken; binding again", port);
            loop.schedule(this::accept, BIND_RETRY_MILLISECONDS, TimeUnit.MILLISECONDS);
        }
    }

    private void answer(StandInRequest request, StandInResponse response) {
        try {
            handler.handle(request, response);
        } catch (UncheckedIOException | IllegalArgumentException e) {
            response.message(400, String.valueOf(e.getMessage()));
        } catch (RuntimeException e) {
            LOGGER.error("handler failed for {} {}", request.method(), request.path(), e);
            response.message(500, e.toString());
        }
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                    .addLast(new Connection());
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        public void channelActive(ChannelHandlerContext context) {
            connections.add(context.channel());
            if (closed) {
                reset(context.channel());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(context.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
            Channel channel = context.channel();
            StandInRequest request =
                    new StandInRequest(
                            message.method().name(),
                            new QueryStringDecoder(message.uri()).path(),
                            message.uri(),
                            message.headers(),
                            ByteBufUtil.getBytes(message.content()),
                            ((InetSocketAddress) channel.remoteAddress()).getPort());
            answer(request, new StandInResponse(channel, HttpUtil.isKeepAlive(message)));
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            Runnable action = context.channel().attr(WRITABLE_ACTION).get();
            if (action != null && context.channel().isWritable()) {
                action.run();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOGGER.debug("connection failed", cause);
            context.close();
        }
    }
}
