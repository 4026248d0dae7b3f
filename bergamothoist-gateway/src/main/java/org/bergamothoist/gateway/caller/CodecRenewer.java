package org.bergamothoist.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.function.IntSupplier;

/**
 * Renews the codec of a caller's connection between two requests: if the limit of header sections
 * has changed, and after a large request, since a codec can neither change its limit nor shrink its
 * buffers.
 */
final class CodecRenewer extends ChannelInboundHandlerAdapter {

    /** Maximum size of a piece of a body that the decoder passes on, in bytes. */
    private static final int MAXIMUM_CHUNK_BYTES = 16_384;

    /**
     * Size of a request, in bytes, from which on its codec is replaced: its buffers may be as
     * large.
     */
    private static final int LARGE_REQUEST_BYTES = 2_048;

    private final CallerConnectionHandler connection;
    private final IntSupplier limit;
    private int headerBytes;
    private HttpServerCodec codec;
    private long requestBytes;

    /**
     * Creates a handler, which comes before its codec in the pipeline.
     *
     * @param limit returns the limit in force, in bytes
     */
    CodecRenewer(CallerConnectionHandler connection, IntSupplier limit) {
        this.connection = connection;
        this.limit = limit;
        this.headerBytes = limit.getAsInt();
        this.codec = createCodec();
    }

    HttpServerCodec codec() {
        return codec;
    }

    private HttpServerCodec createCodec() {
        return new HttpServerCodec(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(headerBytes)
                        .setMaxHeaderSize(headerBytes)
                        .setMaxChunkSize(MAXIMUM_CHUNK_BYTES)
                        .setStrictLineParsing(true)
                        .setUseRfc9112TransferEncoding(true)
                        .setAllowDuplicateContentLengths(false));
    }

    private void replaceCodec(ChannelPipeline pipeline) {
        HttpServerCodec outdated = codec;
        codec = createCodec();
        pipeline.replace(outdated, null, codec);
    }

    /** Releases the memory of the last request, of which nothing may be left to decode. */
    void releaseBuffers(ChannelPipeline pipeline) {
        if (requestBytes >= LARGE_REQUEST_BYTES) {
            replaceCodec(pipeline);
        }
        requestBytes = 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        int current = limit.getAsInt();
        if (current != headerBytes && connection.isBetweenRequests()) {
            headerBytes = current;
            replaceCodec(context.pipeline());
        }
        if (bytes instanceof ByteBuf buffer) {
            requestBytes += buffer.readableBytes();
        }
        connection.onBytesReceived();
        context.fireChannelRead(bytes);
    }
}
