package org.bergamothoist.gateway.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.function.IntSupplier;

/**
 * Gives a connection the limit of header sections that is in force when a request begins. A codec
 * cannot change its limit, so that it is replaced between two requests.
 */
final class HeaderLimitHandler extends ChannelInboundHandlerAdapter {

    /** Maximum size of a piece of a body that the decoder passes on, in bytes. */
    private static final int MAXIMUM_CHUNK_BYTES = 16_384;

    private final CallerConnectionHandler connection;
    private final IntSupplier limit;
    private int headerBytes;
    private HttpServerCodec codec;

    /**
     * Creates a handler, which comes before its codec in the pipeline.
     *
     * @param limit returns the limit in force, in bytes
     */
    HeaderLimitHandler(CallerConnectionHandler connection, IntSupplier limit) {
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

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        int current = limit.getAsInt();
        if (current != headerBytes && connection.isBetweenRequests()) {
            headerBytes = current;
            HttpServerCodec outdated = codec;
            codec = createCodec();
            context.pipeline().replace(outdated, null, codec);
        }
        connection.onBytesReceived();
        context.fireChannelRead(bytes);
    }
}
