package org.bergamothoist.protocol.internal.transport;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.io.IOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.protocol.ProtocolException;
import org.bergamothoist.protocol.UnsupportedMessageException;
import org.bergamothoist.protocol.generated.PeerMessages;
import org.bergamothoist.protocol.internal.transport.TransportMetrics.Rejection;

/**
 * Receives messages on a connection that a peer opened. It sends nothing but the challenge.
 *
 * <p>The time that a message was under way is bounded without synchronised clocks: the sender made
 * its first frame after it had received the challenge, so the time between challenge and arrival of
 * a message, less the time between first frame and message by the sender's clock, is at least the
 * message's age.
 */
public final class InboundConnection extends SimpleChannelInboundHandler<byte[]> {

    /** Version of the frame format. */
    static final int VERSION = 1;

    /** Enough for names and addresses; an unauthenticated sender can make us buffer no more. */
    static final int MAXIMUM_HELLO_BYTES = 4096;

    /** Longer than the time between two messages to the same peer in the largest fleet. */
    static final int IDLE_SECONDS = 900;

    private static final Logger LOGGER = LogManager.getLogger(InboundConnection.class);
    private static final SecureRandom RANDOM = new SecureRandom();
    private static final long HELLO_TIMEOUT_SECONDS = 5;

    /** Both uptimes are cut to whole milliseconds. */
    private static final long ROUNDING_MILLISECONDS = 2;

    private final TransportContext context;
    private final FrameDecoder decoder;
    private final MessageListener listener;
    private final byte[] challenge = new byte[FrameAuthenticator.CHALLENGE_BYTES];
    private final MessageAssembler assembler;
    private long challengedAt;
    private long helloComposedAt;
    private FrameAuthenticator authenticator;
    private DaemonId sender;
    private String senderAddress;

    /** Receives the messages of authenticated senders. */
    @FunctionalInterface
    public interface MessageListener {

        /**
         * Handles a message.
         *
         * @param transit upper bound of the time since the message was made
         */
        void onMessage(DaemonId sender, String senderAddress, byte[] payload, Duration transit);
    }

    private InboundConnection(
            TransportContext context, FrameDecoder decoder, MessageListener listener) {
        this.context = context;
        this.decoder = decoder;
        this.listener = listener;
        this.assembler = new MessageAssembler(context);
        RANDOM.nextBytes(challenge);
    }

    /** Adds the handlers to a channel that was accepted. */
    public static void install(
            Channel channel, TransportContext context, MessageListener listener) {
        FrameDecoder decoder = new FrameDecoder(MAXIMUM_HELLO_BYTES, context.metrics());
        channel.pipeline()
                .addLast(context.metrics())
                .addLast(new IdleStateHandler(IDLE_SECONDS, 0, 0))
                .addLast(decoder)
                .addLast(new InboundConnection(context, decoder, listener));
    }

    @Override
    public void channelActive(ChannelHandlerContext channel) {
        challengedAt = context.uptime();
        ByteBuf buffer = channel.alloc().buffer(Integer.BYTES + challenge.length);
        buffer.writeInt(challenge.length).writeBytes(challenge);
        channel.writeAndFlush(buffer);
        channel.executor()
                .schedule(() -> closeIfSilent(channel), HELLO_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext channel) {
        assembler.discard();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext channel, byte[] bytes) {
        if (!channel.channel().isActive()) {
            return;
        }
        try {
            if (authenticator == null) {
                authenticate(bytes);
            } else {
                receive(bytes);
            }
        } catch (RejectedFrameException rejected) {
            reject(channel, rejected.rejection());
        } catch (ProtocolException malformed) {
            reject(channel, Rejection.MALFORMED);
        }
    }

    private void authenticate(byte[] bytes) {
        if (bytes.length < FrameAuthenticator.MAC_BYTES) {
            throw new ProtocolException("frame without a MAC");
        }
        Frame frame = Frame.decode(bytes, FrameAuthenticator.MAC_BYTES);
        if (frame.kind() != Frame.Kind.HELLO) {
            throw new ProtocolException("the first frame is not a hello");
        }
        PeerMessages.Hello hello = parseHello(frame.payload());
        FrameAuthenticator candidate =
                new FrameAuthenticator(
                        context.key(),
                        challenge,
                        daemonId(hello),
                        hello.getSenderAddress(),
                        context.address());
        if (!candidate.verifyNext(bytes)) {
            throw new RejectedFrameException(Rejection.FORGED);
        }
        if (hello.getVersion() != VERSION) {
            throw new ProtocolException("unknown version of the frame format");
        }
        authenticator = candidate;
        sender = daemonId(hello);
        senderAddress = hello.getSenderAddress();
        helloComposedAt = frame.composedAt();
        context.timeline().observe(frame.stamp());
        decoder.allow(TransportContext.MAXIMUM_FRAME_BYTES);
    }

    private void receive(byte[] bytes) {
        if (!authenticator.verifyNext(bytes)) {
            throw new RejectedFrameException(Rejection.FORGED);
        }
        Frame frame = Frame.decode(bytes, FrameAuthenticator.MAC_BYTES);
        context.timeline().observe(frame.stamp());
        byte[] message = assembler.add(frame);
        if (message == null) {
            return;
        }
        long sinceChallenge = context.uptime() - challengedAt + ROUNDING_MILLISECONDS;
        long sinceHello = frame.composedAt() - helloComposedAt;
        Duration transit = Duration.ofMillis(Math.max(0, sinceChallenge - sinceHello));
        deliver(message, transit);
    }

    private void deliver(byte[] message, Duration transit) {
        try {
            listener.onMessage(sender, senderAddress, message, transit);
        } catch (UnsupportedMessageException newer) {
            context.metrics().rejected(Rejection.UNSUPPORTED);
        } catch (ProtocolException malformed) {
            throw malformed;
        } catch (RuntimeException failure) {
            LOGGER.error("message from {} could not be handled", sender, failure);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext channel, Object event) {
        if (event instanceof IdleStateEvent) {
            channel.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            reject(channel, Rejection.OVERSIZED);
        } else if (cause instanceof DecoderException) {
            reject(channel, Rejection.MALFORMED);
        } else {
            if (!(cause instanceof IOException)) {
                LOGGER.error("connection from a peer failed", cause);
            }
            channel.close();
        }
    }

    private void closeIfSilent(ChannelHandlerContext channel) {
        if (authenticator == null && channel.channel().isActive()) {
            reject(channel, Rejection.SILENT);
        }
    }

    private void reject(ChannelHandlerContext channel, Rejection rejection) {
        context.metrics().rejected(rejection);
        LOGGER.warn(
                "connection from {} is closed after a {} frame",
                channel.channel().remoteAddress(),
                rejection);
        channel.close();
    }

    private static PeerMessages.Hello parseHello(byte[] payload) {
        try {
            return PeerMessages.Hello.parseFrom(payload);
        } catch (InvalidProtocolBufferException malformed) {
            throw new ProtocolException("malformed hello", malformed);
        }
    }

    private static DaemonId daemonId(PeerMessages.Hello hello) {
        try {
            return new DaemonId(hello.getSender().getName(), hello.getSender().getIncarnation());
        } catch (IllegalArgumentException invalid) {
            throw new ProtocolException("hello with an invalid name", invalid);
        }
    }
}
