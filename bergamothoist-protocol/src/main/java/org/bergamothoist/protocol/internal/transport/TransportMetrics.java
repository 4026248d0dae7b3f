package org.bergamothoist.protocol.internal.transport;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** Meters bytes and counts rejected frames and dropped messages. */
@ChannelHandler.Sharable
public final class TransportMetrics extends ChannelDuplexHandler {

    /** Why a frame was rejected. */
    public enum Rejection {
        /** The frame is longer than allowed. */
        OVERSIZED,
        /** The connection ended within a frame. */
        TRUNCATED,
        /** The frame or the message in it is malformed. */
        MALFORMED,
        /** The MAC is wrong: another key, another receiver, or a replayed or reordered frame. */
        FORGED,
        /** The message is of a kind that only newer versions know; the connection stays open. */
        UNSUPPORTED,
        /** The sender did not authenticate itself in time. */
        SILENT
    }

    private final Meter bytesSent;
    private final Meter bytesReceived;
    private final Counter messagesDropped;
    private final Map<Rejection, Counter> rejections = new EnumMap<>(Rejection.class);

    public TransportMetrics(MetricRegistry registry) {
        bytesSent = registry.meter("peer.bytes.sent");
        bytesReceived = registry.meter("peer.bytes.received");
        messagesDropped = registry.counter("peer.messages.dropped");
        for (Rejection rejection : Rejection.values()) {
            String name = rejection.name().toLowerCase(Locale.ROOT);
            rejections.put(rejection, registry.counter("peer.frames.rejected." + name));
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf buffer) {
            bytesReceived.mark(buffer.readableBytes());
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf buffer) {
            bytesSent.mark(buffer.readableBytes());
        }
        context.write(message, promise);
    }

    /** Counts a message that was not sent. */
    public void dropped() {
        messagesDropped.inc();
    }

    /** Counts a frame that was rejected. */
    public void rejected(Rejection rejection) {
        rejections.get(rejection).inc();
    }
}
