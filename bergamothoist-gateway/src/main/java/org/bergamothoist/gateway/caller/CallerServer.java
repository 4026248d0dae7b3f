package org.bergamothoist.gateway.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.SocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.route.CallerLimits;
import org.bergamothoist.core.route.ConfigurationHolder;
import org.bergamothoist.core.route.RouteConfiguration;

/** Accepts connections of callers. Confined to the event loop. */
public final class CallerServer {

    /** Limits until the first configuration arrives: the values that operators usually set. */
    private static final CallerLimits INITIAL_LIMITS =
            new CallerLimits(16_384, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Interval between timeout checks; short compared with the usual timeouts. */
    private static final Duration TIMEOUT_CHECK_INTERVAL = Duration.ofMillis(500);

    /** Maximum connections that wait to be accepted; callers may all reconnect at once. */
    private static final int BACKLOG = 1_024;

    private final EventLoop eventLoop;
    private final ExchangeDependencies dependencies;
    private final ConfigurationHolder configuration;
    private final Set<CallerConnectionHandler> connections = new LinkedHashSet<>();
    private Channel listener;
    private boolean closingAfterResponses;

    /** Creates a server; {@link #listen} binds it. */
    public CallerServer(
            EventLoop eventLoop,
            ExchangeDependencies dependencies,
            ConfigurationHolder configuration) {
        this.eventLoop = eventLoop;
        this.dependencies = dependencies;
        this.configuration = configuration;
    }

    /** Starts to listen on an address; the future fails if the address cannot be bound. */
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
                                        configurePipeline(channel);
                                    }
                                })
                        .bind(address);
        listener = bound.channel();
        scheduleTimeoutCheck();
        return bound;
    }

    private void configurePipeline(Channel channel) {
        CallerConnectionHandler connection = new CallerConnectionHandler(dependencies, this);
        CodecRenewer renewer = new CodecRenewer(connection, () -> limits().headerBytes());
        channel.pipeline().addLast(renewer, renewer.codec(), connection);
    }

    private void scheduleTimeoutCheck() {
        dependencies.scheduler().schedule(TIMEOUT_CHECK_INTERVAL, this::enforceTimeouts);
    }

    private void enforceTimeouts() {
        Instant now = dependencies.clock().instant();
        List.copyOf(connections).forEach(connection -> connection.enforceTimeouts(limits(), now));
        scheduleTimeoutCheck();
    }

    CallerLimits limits() {
        return configuration.current().map(RouteConfiguration::limits).orElse(INITIAL_LIMITS);
    }

    void add(CallerConnectionHandler connection) {
        connections.add(connection);
    }

    void remove(CallerConnectionHandler connection) {
        connections.remove(connection);
    }

    boolean isClosingAfterResponses() {
        return closingAfterResponses;
    }

    /**
     * Closes each connection after the next response that starts on it, announced with {@code
     * Connection: close}; new connections are still accepted.
     */
    public void closeAfterResponses() {
        closingAfterResponses = true;
    }

    /**
     * Stops accepting connections; closes idle connections at once and busy ones after their
     * response.
     */
    public void stopListening() {
        listener.close();
        List.copyOf(connections).forEach(CallerConnectionHandler::closeWhenIdle);
    }

    /** Refuses requests that are still arriving and could no longer end before the daemon does. */
    public void refuseRequestsThatCannotEnd() {
        List.copyOf(connections).forEach(CallerConnectionHandler::refuseIfStoppingTooSoon);
    }

    /**
     * Lets the kernel take as much as it can of what slow readers have not received yet: it goes on
     * sending that after the end of the process.
     */
    public void raiseSendBuffers() {
        try {
            int largest = LargestSendBuffer.bytes();
            List.copyOf(connections).forEach(connection -> connection.raiseSendBuffer(largest));
        } catch (IOException | ChannelException exception) {
            dependencies
                    .log()
                    .write(
                            DecisionKind.CALLER_FAULT,
                            "send buffers",
                            () -> "" + exception,
                            "slow readers may lose what the daemon still holds");
        }
    }

    /**
     * Closes all connections at the end of the grace; a response in progress does not look
     * complete. What this ends has been logged when the method returns.
     *
     * @return the number of answers that this ended without their last byte
     */
    public long abortConnections() {
        long before = countEndings();
        List.copyOf(connections).forEach(CallerConnectionHandler::abortAtGraceEnd);
        return countEndings() - before;
    }

    private long countEndings() {
        return endings().values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the numbers of requests that have ended, by outcome. */
    public SortedMap<String, Long> endings() {
        return dependencies.metrics().endings();
    }

    /** Returns the number of requests that wait behind another one on their connection. */
    public long pipelinedRequests() {
        return connections.stream().mapToLong(CallerConnectionHandler::pipelinedRequests).sum();
    }

    /** Returns the number of connections on which part of a request's head has been received. */
    public long connectionsWithPartialHead() {
        return connections.stream().filter(CallerConnectionHandler::hasPartialHead).count();
    }

    /** Returns the number of connections with a request in progress. */
    public long busyConnections() {
        return connections.stream().filter(CallerConnectionHandler::isBusy).count();
    }
}
