package org.bergamothoist.protocol.internal.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bergamothoist.core.timeline.Timestamp;
import org.bergamothoist.protocol.generated.PeerMessages;
import org.bergamothoist.protocol.generated.StateMessages;

/**
 * Sends messages to one peer over a connection that is opened on demand. All fields but the atomic
 * ones are confined to the peer's event loop.
 */
public final class OutboundPeer {

    private static final Logger LOGGER = LogManager.getLogger(OutboundPeer.class);

    /** Bytes of a message in one frame; leaves room for head and MAC. */
    private static final int PART_BYTES = TransportContext.MAXIMUM_FRAME_BYTES / 2;

    /** Bytes of messages of one frame that may be queued. */
    private static final int MAXIMUM_QUEUED_BYTES = 1 << 20;

    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1_000;

    /** Time within which the peer must send its challenge. */
    private static final long CHALLENGE_TIMEOUT_MILLISECONDS = 3_000;

    /** Delay of the first connection attempt after a failure, before doublings and jitter. */
    private static final long MINIMUM_BACKOFF_MILLISECONDS = 100;

    /**
     * Longest delay of a connection attempt. An authenticated connection that was open for longer
     * resets the count of failures.
     */
    private static final long MAXIMUM_BACKOFF_MILLISECONDS = 5_000;

    /** Doublings of the smallest delay, which suffice to reach the longest. */
    private static final int MAXIMUM_DOUBLINGS = 6;

    /** Messages that waited longer for a connection are of no more use to anyone. */
    private static final long MAXIMUM_WAIT_MILLISECONDS = 10_000;

    /** A connection on which no byte moves for this time although some are queued is closed. */
    private static final long STALL_MILLISECONDS = 30_000;

    /**
     * Age at which a connection is replaced. The receiver bounds transit times by the difference of
     * both clocks since the challenge; clocks that drift by 100 parts per million err by 180 ms in
     * this time.
     */
    private static final long MAXIMUM_CONNECTION_AGE_MILLISECONDS = 1_800_000;

    /** Time without a sent byte after which a connection is closed. */
    private static final int IDLE_SECONDS = 600;

    private final TransportContext context;
    private final String address;
    private final InetSocketAddress socketAddress;
    private final EventLoop eventLoop;
    private final ChannelGroup channels;
    private final Consumer<OutboundPeer> whenIdle;
    private final AtomicInteger queuedBytes = new AtomicInteger();
    private final AtomicBoolean longMessageQueued = new AtomicBoolean();
    private final Deque<Queued> queue = new ArrayDeque<>();
    private Channel channel;
    private FrameAuthenticator authenticator;
    private boolean retryScheduled;
    private int failures;
    private long openedAt;
    private long progressAt;

    private record Queued(Frame.Kind kind, byte[] payload, long composedAt, boolean heartbeat) {

        private boolean isPart() {
            return kind != Frame.Kind.MESSAGE;
        }
    }

    /**
     * Creates a peer without a connection.
     *
     * @param whenIdle called when the connection was closed because nothing was sent for long
     */
    public OutboundPeer(
            TransportContext context,
            String address,
            InetSocketAddress socketAddress,
            EventLoop eventLoop,
            ChannelGroup channels,
            Consumer<OutboundPeer> whenIdle) {
        this.context = context;
        this.address = address;
        this.socketAddress = socketAddress;
        this.eventLoop = eventLoop;
        this.channels = channels;
        this.whenIdle = whenIdle;
    }

    /**
     * Queues a message, or drops it if the queue is full. Never blocks.
     *
     * @param composedAt uptime at which the message was made
     * @param heartbeat whether a newer heartbeat may replace the message in the queue
     */
    public void offer(byte[] message, long composedAt, boolean heartbeat) {
        if (!reserve(message.length)) {
            context.metrics().dropped();
            eventLoop.execute(this::closeIfStalled);
            return;
        }
        eventLoop.execute(() -> enqueue(message, composedAt, heartbeat));
    }

    /** Long messages have a place of their own, so that a snapshot does not displace others. */
    private boolean reserve(int bytes) {
        if (bytes > TransportContext.MAXIMUM_MESSAGE_BYTES || !context.reserveOutbound(bytes)) {
            return false;
        }
        boolean reserved =
                bytes > PART_BYTES
                        ? longMessageQueued.compareAndSet(false, true)
                        : queuedBytes.addAndGet(bytes) <= MAXIMUM_QUEUED_BYTES;
        if (!reserved) {
            context.releaseOutbound(bytes);
            if (bytes <= PART_BYTES) {
                queuedBytes.addAndGet(-bytes);
            }
        }
        return reserved;
    }

    private void release(Queued queued) {
        context.releaseOutbound(queued.payload.length);
        if (!queued.isPart()) {
            queuedBytes.addAndGet(-queued.payload.length);
        } else if (queued.kind == Frame.Kind.LAST_PART) {
            longMessageQueued.set(false);
        }
    }

    private void enqueue(byte[] message, long composedAt, boolean heartbeat) {
        if (queue.isEmpty()) {
            progressAt = context.uptime();
        }
        if (heartbeat) {
            dropQueued(Queued::heartbeat);
            queue.addFirst(new Queued(Frame.Kind.MESSAGE, message, composedAt, true));
        } else if (message.length <= PART_BYTES) {
            queue.addLast(new Queued(Frame.Kind.MESSAGE, message, composedAt, false));
        } else {
            enqueueParts(message, composedAt);
        }
        closeIfStalled();
        flush();
    }

    private void enqueueParts(byte[] message, long composedAt) {
        for (int start = 0; start < message.length; start += PART_BYTES) {
            int end = Math.min(message.length, start + PART_BYTES);
            Frame.Kind kind = end == message.length ? Frame.Kind.LAST_PART : Frame.Kind.PART;
            byte[] part = Arrays.copyOfRange(message, start, end);
            queue.add(new Queued(kind, part, composedAt, false));
        }
    }

    private void flush() {
        if (queue.isEmpty()) {
            return;
        }
        if (channel == null) {
            connect();
            return;
        }
        if (authenticator == null) {
            return;
        }
        if (isDueForRenewal()) {
            channel.close();
            return;
        }
        while (!queue.isEmpty() && channel.isWritable()) {
            Queued next = queue.remove();
            write(next.kind, next.payload, next.composedAt).addListener(done -> written(next));
        }
        channel.flush();
    }

    private boolean isDueForRenewal() {
        Frame.Kind next = queue.element().kind;
        boolean betweenMessages = next == Frame.Kind.MESSAGE;
        return betweenMessages && context.uptime() - openedAt > MAXIMUM_CONNECTION_AGE_MILLISECONDS;
    }

    private void written(Queued queued) {
        progressAt = context.uptime();
        release(queued);
    }

    private ChannelFuture write(Frame.Kind kind, byte[] payload, long composedAt) {
        Timestamp stamp = context.timeline().nextTimestamp();
        byte[] content = new Frame(kind, stamp, composedAt, payload).encode();
        byte[] mac = authenticator.next(content, 0, content.length);
        ByteBuf buffer = channel.alloc().buffer(Integer.BYTES + mac.length + content.length);
        buffer.writeInt(mac.length + content.length).writeBytes(mac).writeBytes(content);
        return channel.write(buffer);
    }

    private void connect() {
        if (retryScheduled) {
            return;
        }
        ChannelFuture connecting =
                new Bootstrap()
                        .group(eventLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.SO_KEEPALIVE, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel opened) {
                                        install(opened);
                                    }
                                })
                        .connect(socketAddress);
        Channel opening = connecting.channel();
        channel = opening;
        channels.add(opening);
        opening.closeFuture().addListener(closed -> disconnected(opening));
    }

    private void install(Channel opened) {
        opened.pipeline()
                .addLast(context.metrics())
                .addLast(new IdleStateHandler(0, IDLE_SECONDS, 0))
                .addLast(new FrameDecoder(FrameAuthenticator.CHALLENGE_BYTES, context.metrics()))
                .addLast(new ChallengeHandler());
    }

    private void disconnected(Channel closed) {
        if (channel != closed) {
            return;
        }
        channel = null;
        boolean wasUsable =
                authenticator != null && context.uptime() - openedAt > MAXIMUM_BACKOFF_MILLISECONDS;
        authenticator = null;
        long oldest = context.uptime() - MAXIMUM_WAIT_MILLISECONDS;
        dropQueued(queued -> queued.isPart() || queued.composedAt < oldest);
        if (wasUsable) {
            failures = 0;
        }
        if (eventLoop.isShuttingDown() || retryScheduled) {
            return;
        }
        retryScheduled = true;
        eventLoop.schedule(this::retry, backoff(), TimeUnit.MILLISECONDS);
        failures++;
    }

    private void retry() {
        retryScheduled = false;
        flush();
    }

    private long backoff() {
        int doublings = Math.min(failures, MAXIMUM_DOUBLINGS);
        long limit =
                Math.min(MAXIMUM_BACKOFF_MILLISECONDS, MINIMUM_BACKOFF_MILLISECONDS << doublings);
        return ThreadLocalRandom.current().nextLong(limit / 2, limit + 1);
    }

    private void dropQueued(Predicate<Queued> condition) {
        queue.removeIf(
                queued -> {
                    boolean drop = condition.test(queued);
                    if (drop) {
                        release(queued);
                        context.metrics().dropped();
                    }
                    return drop;
                });
    }

    private void closeIfStalled() {
        if (channel != null && context.uptime() - progressAt > STALL_MILLISECONDS) {
            LOGGER.warn("peer {} does not take messages; the connection is closed", address);
            channel.close();
        }
    }

    private void open(byte[] challenge) {
        authenticator =
                new FrameAuthenticator(
                        context.key(), challenge, context.daemon(), context.address(), address);
        openedAt = context.uptime();
        progressAt = openedAt;
        PeerMessages.Hello hello =
                PeerMessages.Hello.newBuilder()
                        .setVersion(InboundConnection.VERSION)
                        .setSender(
                                StateMessages.Daemon.newBuilder()
                                        .setName(context.daemon().name())
                                        .setIncarnation(context.daemon().incarnation()))
                        .setSenderAddress(context.address())
                        .setReceiverAddress(address)
                        .build();
        write(Frame.Kind.HELLO, hello.toByteArray(), openedAt);
        channel.flush();
        flush();
    }

    /** Waits for the challenge, and resumes sending when the connection takes more. */
    private final class ChallengeHandler extends SimpleChannelInboundHandler<byte[]> {

        @Override
        public void channelActive(ChannelHandlerContext opened) {
            opened.executor()
                    .schedule(
                            () -> closeIfUnchallenged(opened),
                            CHALLENGE_TIMEOUT_MILLISECONDS,
                            TimeUnit.MILLISECONDS);
        }

        private void closeIfUnchallenged(ChannelHandlerContext opened) {
            if (channel == opened.channel() && authenticator == null) {
                opened.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext opened, byte[] frame) {
            boolean expected =
                    authenticator == null && frame.length == FrameAuthenticator.CHALLENGE_BYTES;
            if (!expected) {
                context.metrics().rejected(TransportMetrics.Rejection.MALFORMED);
                opened.close();
                return;
            }
            open(frame);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext opened) {
            if (channel == opened.channel()) {
                flush();
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext opened, Object event) {
            if (event instanceof IdleStateEvent && queue.isEmpty()) {
                opened.close();
                whenIdle.accept(OutboundPeer.this);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext opened, Throwable cause) {
            LOGGER.debug("connection to {} failed: {}", address, cause.toString());
            opened.close();
        }
    }
}
