package org.bergamothoist.gateway.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.SocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.bergamothoist.core.route.CallerLimits;
import org.bergamothoist.core.route.ConfigurationHolder;
import org.bergamothoist.core.route.RouteConfiguration;

/** Accepts callers' connections. Confined to the event loop. */
public final class CallerServer {

    /** Limits before the first configuration: those that operators usually state. */
    private static final CallerLimits INITIAL_LIMITS =
            new CallerLimits(16_384, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Interval between checks of callers' times: a small part of the limits. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    /** Size of one piece of a body, in bytes. */
    private static final int CHUNK_BYTES = 16_384;

    /** Connections that wait to be accepted; a burst of callers that all reconnect. */
    private static final int BACKLOG = 1_024;

    private final EventLoop eventLoop;
    private final ExchangeServices services;
    private final ConfigurationHolder configuration;
    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private boolean closing;

    /** Creates a server that does not listen yet. */
    public CallerServer(
            EventLoop eventLoop, ExchangeServices services, ConfigurationHolder configuration) {
        this.eventLoop = eventLoop;
        this.services = services;
        this.configuration = configuration;
    }

    /** Starts to listen. */
    public ChannelFuture listen(SocketAddress address) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(eventLoop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        initialise(channel);
                                    }
                                })
                        .bind(address);
        listener = bound.channel();
        checkTimesLater();
        return bound;
    }

    private void initialise(Channel channel) {
        CallerConnection connection = new CallerConnection(services, this);
        HttpDecoderConfig decoding =
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(limits().headerBytes())
                        .setMaxHeaderSize(limits().headerBytes())
                        .setMaxChunkSize(CHUNK_BYTES)
                        .setStrictLineParsing(true)
                        .setUseRfc9112TransferEncoding(true)
                        .setAllowDuplicateContentLengths(false);
        channel.pipeline()
                .addLast(
                        new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelRead(ChannelHandlerContext context, Object bytes) {
                                connection.onBytes();
                                context.fireChannelRead(bytes);
                            }
                        })
                .addLast(new HttpServerCodec(decoding))
                .addLast(connection);
    }

    private void checkTimesLater() {
        services.scheduler().schedule(CHECK_INTERVAL, this::checkTimes);
    }

    private void checkTimes() {
        Instant now = services.clock().instant();
        List.copyOf(connections).forEach(connection -> connection.checkTimes(limits(), now));
        checkTimesLater();
    }

    CallerLimits limits() {
        return configuration.current().map(RouteConfiguration::limits).orElse(INITIAL_LIMITS);
    }

    void add(CallerConnection connection) {
        connections.add(connection);
    }

    void remove(CallerConnection connection) {
        connections.remove(connection);
    }

    boolean isClosing() {
        return closing;
    }

    /** Ends connections after the request in progress, and new ones after their first. */
    public void closeAfterAnswers() {
        closing = true;
    }

    /** Closes the connections without a request, and stops accepting new ones. */
    public void stopListening() {
        listener.close();
        List.copyOf(connections).forEach(CallerConnection::closeWhenIdle);
    }

    /** Returns the number of connections with a request in progress. */
    public long busyConnections() {
        return connections.stream().filter(CallerConnection::isBusy).count();
    }
}
