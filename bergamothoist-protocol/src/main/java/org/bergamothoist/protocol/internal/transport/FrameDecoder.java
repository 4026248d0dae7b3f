package org.bergamothoist.protocol.internal.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.util.List;

/** Splits the byte stream into frames by their length prefixes. */
final class FrameDecoder extends ByteToMessageDecoder {

    private final TransportMetrics metrics;
    private int maximumBytes;

    FrameDecoder(int maximumBytes, TransportMetrics metrics) {
        this.maximumBytes = maximumBytes;
        this.metrics = metrics;
    }

    /** Changes the bound, which is small until the sender is authenticated. */
    void allow(int newMaximumBytes) {
        maximumBytes = newMaximumBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output) {
        if (input.readableBytes() < Integer.BYTES) {
            return;
        }
        int length = input.getInt(input.readerIndex());
        if (length < 0 || length > maximumBytes) {
            input.skipBytes(input.readableBytes());
            throw new TooLongFrameException("frame of " + length + " bytes");
        }
        if (input.readableBytes() < Integer.BYTES + length) {
            return;
        }
        input.skipBytes(Integer.BYTES);
        byte[] frame = new byte[length];
        input.readBytes(frame);
        output.add(frame);
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf input, List<Object> output)
            throws Exception {
        super.decodeLast(context, input, output);
        if (input.isReadable()) {
            metrics.rejected(TransportMetrics.Rejection.TRUNCATED);
        }
    }
}
