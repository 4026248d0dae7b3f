package org.bergamothoist.gateway.client;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;

/** Opens connections and keeps idle ones by address. Confined to the event loop. */
public final class ConnectionPool {

    /** Time for which no connections are kept to a peer whose answers matched no request. */
    private static final Duration UNRELIABLE_TIME = Duration.ofSeconds(30);

    private final EventLoop eventLoop;
    private final InstantSource clock;
    private final Settings settings;
    private final Counter opened;
    private final DecisionLog log;
    private final AnswerMismatches mismatches;
    private long lastNumber;
    private final Map<String, Deque<ClientConnection>> idle = new HashMap<>();
    private final Map<String, Instant> notKeptUntil = new HashMap<>();
    private final Consumer<String> unreliablePeers;
    private final BiConsumer<String, Duration> connectTimes;

    /** Addresses whose answers have named their requests. */
    private final Set<String> addressesNamingRequests = new HashSet<>();

    /**
     * How connections are opened and kept.
     *
     * @param connectTimeout time for a connection to be established
     * @param idleTime time for which an idle connection is kept if its peer states none
     * @param idleMargin time by which a connection is given up before its peer closes it
     */
    public record Settings(Duration connectTimeout, Duration idleTime, Duration idleMargin) {}

    /**
     * Creates an empty pool.
     *
     * @param name names the pool in metrics
     * @param unreliablePeers is told the name of a peer for each answer that matches no request and
     *     fails none, if the peer goes on with them on connections that are not kept
     * @param connectTimes is told the name of a peer and the time in which a connection to it was
     *     established
     */
    public ConnectionPool(
            String name,
            EventLoop eventLoop,
            InstantSource clock,
            Settings settings,
            MetricRegistry metrics,
            DecisionLog log,
            Consumer<String> unreliablePeers,
            BiConsumer<String, Duration> connectTimes) {
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.settings = settings;
        this.opened = metrics.counter("connections-opened." + name);
        this.log = log;
        this.mismatches = new AnswerMismatches(clock, metrics, log);
        this.unreliablePeers = unreliablePeers;
        this.connectTimes = connectTimes;
    }

    InstantSource clock() {
        return clock;
    }

    Duration defaultIdleTime() {
        return settings.idleTime();
    }

    Duration idleMargin() {
        return settings.idleMargin();
    }

    /** Records what a peer sent that matches no request. */
    void onMismatch(
            AnswerMismatches.Kind kind, AnswerMismatches.Origin origin, Supplier<String> details) {
        if (!mismatches.record(kind, origin, details)) {
            return;
        }
        if (!kind.failsRequest() && !isKept(origin.address())) {
            unreliablePeers.accept(origin.peer());
        }
        keepNoConnections(
                origin.address(),
                clock.instant().plus(UNRELIABLE_TIME),
                "repeated answers that match no request");
    }

    private boolean isKept(String address) {
        Instant until = notKeptUntil.get(address);
        if (until != null && !clock.instant().isBefore(until)) {
            notKeptUntil.remove(address);
            return true;
        }
        return until == null;
    }

    /**
     * Passes on a connection whose answer to the request cannot be confused with one to an earlier
     * request, or a failure to open one.
     */
    public void acquire(Destination destination, BiConsumer<ClientConnection, Throwable> receiver) {
        Deque<ClientConnection> kept = idle.get(destination.address());
        while (kept != null && !kept.isEmpty() && destination.match().isOnKeptConnection()) {
            ClientConnection connection = kept.pollFirst();
            if (connection.isUsableFor(destination.match())) {
                receiver.accept(connection, null);
                return;
            }
            connection.close();
        }
        open(destination, receiver);
    }

    /**
     * Passes on whether the address accepts connections: null if so, or the failure to open one.
     * Opens a new connection, since a process that is ending may close kept ones last.
     */
    public void probe(String address, Consumer<Throwable> receiver) {
        open(
                new Destination(address, address, AnswerMatch.byConnection()),
                (connection, failure) -> {
                    if (connection != null) {
                        connection.close();
                    }
                    receiver.accept(failure);
                });
    }

    /** Returns whether a failure to open a connection says that no process listens. */
    public static boolean isRefused(Throwable failure) {
        // Netty's timeout is a subclass of the exception for refused connections.
        return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
    }

    /** Passes on a new connection, or a failure to open one. */
    void open(Destination destination, BiConsumer<ClientConnection, Throwable> receiver) {
        String address = destination.address();
        InetSocketAddress socketAddress;
        try {
            socketAddress = socketAddress(address);
        } catch (IllegalArgumentException | IndexOutOfBoundsException exception) {
            receiver.accept(null, new ConnectException("malformed address " + address));
            return;
        }
        opened.inc();
        lastNumber++;
        ClientConnection connection = new ClientConnection(destination, lastNumber, this, clock);
        Instant begunAt = clock.instant();
        new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                // Tells the peer's orderly end from other ends of the connection.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        (int) settings.connectTimeout().toMillis())
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                connection.attach(channel);
                                channel.pipeline()
                                        .addLast(
                                                connection.decoder(),
                                                new HttpRequestEncoder(),
                                                connection);
                            }
                        })
                .connect(socketAddress)
                .addListener(
                        future -> {
                            if (future.isSuccess()) {
                                connectTimes.accept(
                                        destination.peer(),
                                        Duration.between(begunAt, clock.instant()));
                            }
                            receiver.accept(future.isSuccess() ? connection : null, future.cause());
                        });
    }

    /** Returns the socket address of an IP address and port. */
    public static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    void release(ClientConnection connection) {
        if (!isKept(connection.address())) {
            connection.close();
            return;
        }
        idle.computeIfAbsent(connection.address(), address -> new ArrayDeque<>())
                .addFirst(connection);
    }

    void forget(ClientConnection connection) {
        Deque<ClientConnection> kept = idle.get(connection.address());
        if (kept != null) {
            kept.remove(connection);
            if (kept.isEmpty()) {
                idle.remove(connection.address());
            }
        }
    }

    void onAnswered(String address) {
        mismatches.onAnswered(address);
    }

    void onRequestNamed(String address) {
        addressesNamingRequests.add(address);
    }

    boolean hasNamedRequests(String address) {
        return addressesNamingRequests.contains(address);
    }

    /**
     * Keeps no connections to an address whose answers name no request: only on a new connection
     * such an answer certainly is that to the request in progress.
     */
    void keepNoConnections(String address) {
        keepNoConnections(address, Instant.MAX, "its answers or refusals name no request");
    }

    private void keepNoConnections(String address, Instant until, String reason) {
        if (isKept(address)) {
            log.write(
                    DecisionKind.CONNECTIONS_NOT_KEPT,
                    address,
                    () -> reason,
                    until.equals(Instant.MAX)
                            ? "until the address has another owner"
                            : "for " + UNRELIABLE_TIME.toSeconds() + " s");
        }
        closeKept(address);
        notKeptUntil.merge(address, until, (before, now) -> now.isAfter(before) ? now : before);
    }

    /** Closes the idle connections to an address whose owner is gone. */
    public void closeIdle(String address) {
        notKeptUntil.remove(address);
        addressesNamingRequests.remove(address);
        mismatches.forget(address);
        closeKept(address);
    }

    private void closeKept(String address) {
        Deque<ClientConnection> kept = idle.remove(address);
        if (kept != null) {
            kept.forEach(ClientConnection::close);
        }
    }
}
