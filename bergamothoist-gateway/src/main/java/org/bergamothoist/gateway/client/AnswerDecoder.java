package org.bergamothoist.gateway.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Decodes answers; one to a HEAD request has no body whatever its headers say.
 *
 * <p>Bytes that come when no answer is expected are not decoded: the start of a head would stay in
 * the decoder and be read as the start of the next answer.
 */
final class AnswerDecoder extends HttpResponseDecoder {

    /** Size of an answer's header section, in bytes; a bound on memory only. */
    private static final int MOST_HEADER_BYTES = 32_768;

    /** Size of one piece of a body, in bytes: several pieces stay in flight for a large body. */
    private static final int CHUNK_BYTES = 16_384;

    private final BooleanSupplier answerExpected;
    private final Runnable onUnexpectedBytes;
    private HttpMethod method = HttpMethod.GET;

    /**
     * Creates a decoder.
     *
     * @param answerExpected whether a request waits for its answer
     * @param onUnexpectedBytes called when bytes come while no answer is expected
     */
    AnswerDecoder(BooleanSupplier answerExpected, Runnable onUnexpectedBytes) {
        super(
                new HttpDecoderConfig()
                        .setMaxHeaderSize(MOST_HEADER_BYTES)
                        .setMaxChunkSize(CHUNK_BYTES)
                        .setAllowPartialChunks(true));
        this.answerExpected = answerExpected;
        this.onUnexpectedBytes = onUnexpectedBytes;
    }

    void expect(HttpMethod requestMethod) {
        method = requestMethod;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages)
            throws Exception {
        if (answerExpected.getAsBoolean()) {
            super.decode(context, bytes, messages);
            return;
        }
        bytes.skipBytes(bytes.readableBytes());
        onUnexpectedBytes.run();
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
    }
}
