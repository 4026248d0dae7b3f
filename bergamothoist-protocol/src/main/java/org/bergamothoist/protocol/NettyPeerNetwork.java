package org.bergamothoist.protocol;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bergamothoist.core.peer.PeerMessage;
import org.bergamothoist.core.peer.PeerNetwork;
import org.bergamothoist.core.timeline.Timeline;
import org.bergamothoist.protocol.internal.transport.InboundConnection;
import org.bergamothoist.protocol.internal.transport.OutboundPeer;
import org.bergamothoist.protocol.internal.transport.PeerAddresses;
import org.bergamothoist.protocol.internal.transport.TransportContext;
import org.bergamothoist.protocol.internal.transport.TransportMetrics;

/**
 * Carries peer messages over TCP. Each daemon opens one connection to each peer that it sends to.
 * Frames are authenticated with the deployment key; {@code docs/protocol.md} has their form. Safe
 * for use by several threads.
 */
public final class NettyPeerNetwork implements PeerNetwork, AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(NettyPeerNetwork.class);

    /** Threads of the event loops. */
    private static final int THREADS = 2;

    /** Connections that may wait to be accepted. */
    private static final int BACKLOG = 512;

    /** Several connections for each daemon of the largest fleet; more are refused. */
    private static final int MAXIMUM_INBOUND_CONNECTIONS = 2048;

    /** Peers are removed when idle; the bound is several times the largest fleet. */
    private static final int MAXIMUM_PEERS = 2048;

    /** Longest wait for connections and, again, for threads to end, in seconds. */
    private static final long SHUTDOWN_SECONDS = 2;

    private final PeerNetworkSettings settings;
    private final Timeline timeline;
    private final TransportMetrics metrics;
    private final PeerMessageCodec codec = new PeerMessageCodec();
    private final EventLoopGroup threads =
            new MultiThreadIoEventLoopGroup(
                    THREADS, new DefaultThreadFactory("peer", true), NioIoHandler.newFactory());
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final ChannelGroup inbound = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Map<String, OutboundPeer> peers = new ConcurrentHashMap<>();
    private volatile PeerReceiver receiver = (sender, address, message) -> {};
    private volatile TransportContext context;

    /** Creates a network that listens and sends after {@link #start}. */
    public NettyPeerNetwork(
            PeerNetworkSettings settings, Timeline timeline, MetricRegistry metrics) {
        this.settings = Objects.requireNonNull(settings);
        this.timeline = Objects.requireNonNull(timeline);
        this.metrics = new TransportMetrics(metrics);
    }

    /**
     * Starts to listen.
     *
     * @throws ProtocolException if the port cannot be bound
     */
    public void start() {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(threads)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.SO_KEEPALIVE, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        accept(channel);
                                    }
                                });
        Channel server;
        try {
            server =
                    bootstrap
                            .bind(PeerAddresses.parse(settings.bindHost(), settings.port()))
                            .syncUninterruptibly()
                            .channel();
        } catch (Exception failure) {
            throw new ProtocolException("cannot listen for peers at " + settings, failure);
        }
        channels.add(server);
        int port = ((InetSocketAddress) server.localAddress()).getPort();
        context =
                new TransportContext(
                        settings.daemon(),
                        PeerAddresses.format(settings.advertisedHost(), port),
                        port,
                        settings.deploymentKey(),
                        timeline,
                        metrics);
        LOGGER.info("listening for peers at {}", context.address());
    }

    /**
     * Returns the port that the network listens on.
     *
     * @throws IllegalStateException before the start
     */
    public int boundPort() {
        return started().port();
    }

    /**
     * Returns the address under which other daemons reach this one, {@code host:port}.
     *
     * @throws IllegalStateException before the start
     */
    public String address() {
        return started().address();
    }

    @Override
    public void setReceiver(PeerReceiver newReceiver) {
        receiver = Objects.requireNonNull(newReceiver);
    }

    @Override
    public void send(String address, PeerMessage message) {
        composeAndSend(address, () -> message);
    }

    @Override
    public void composeAndSend(String address, Supplier<? extends PeerMessage> supplier) {
        TransportContext current = context;
        if (current == null || threads.isShuttingDown() || address.equals(current.address())) {
            return;
        }
        long composedAt = current.uptime();
        PeerMessage message = supplier.get();
        OutboundPeer peer = peer(address);
        if (peer == null) {
            metrics.dropped();
            return;
        }
        boolean heartbeat = message instanceof PeerMessage.Heartbeat;
        peer.offer(codec.encode(message), composedAt, heartbeat);
    }

    /** Closes all connections and stops the threads. */
    @Override
    public void close() {
        channels.close().awaitUninterruptibly(SHUTDOWN_SECONDS, TimeUnit.SECONDS);
        threads.shutdownGracefully(0, SHUTDOWN_SECONDS, TimeUnit.SECONDS).awaitUninterruptibly();
        peers.clear();
    }

    private OutboundPeer peer(String address) {
        OutboundPeer known = peers.get(address);
        if (known != null) {
            return known;
        }
        InetSocketAddress socketAddress = PeerAddresses.parse(address);
        if (socketAddress == null || peers.size() >= MAXIMUM_PEERS) {
            LOGGER.warn("message to peer address {} is dropped", address);
            return null;
        }
        return peers.computeIfAbsent(
                address,
                key ->
                        new OutboundPeer(
                                context,
                                key,
                                socketAddress,
                                threads.next(),
                                channels,
                                peer -> peers.remove(key, peer)));
    }

    private void accept(Channel channel) {
        TransportContext current = context;
        if (current == null || inbound.size() >= MAXIMUM_INBOUND_CONNECTIONS) {
            channel.close();
            return;
        }
        channels.add(channel);
        inbound.add(channel);
        InboundConnection.install(
                channel,
                current,
                (sender, address, payload, transit) -> {
                    PeerMessage message = codec.decode(payload);
                    receiver.onMessage(sender, address, message.delayedBy(transit));
                });
    }

    private TransportContext started() {
        TransportContext current = context;
        if (current == null) {
            throw new IllegalStateException("the network has not been started");
        }
        return current;
    }
}
