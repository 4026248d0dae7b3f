package org.bergamothoist.gateway.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;
import java.util.regex.Pattern;

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

    /**
     * A status in RFC 9112, section 4, of the classes of RFC 9110, section 15. The decoder reads
     * any number, also one with a sign or with leading zeros.
     */
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

    /** Index of the status in a status line. */
    private static final int STATUS_INDEX = 1;

    /** The connection whose answers are decoded. */
    interface Connection {

        /** Returns whether a request waits for its answer. */
        boolean isAnswerExpected();

        /** Handles bytes that come while no answer is expected. */
        void onUnexpectedBytes(int count);

        /** Handles a head that has a folded line. */
        void onFoldedLine();

        /** Handles the orderly end of the peer's bytes, before what it completes is decoded. */
        void onInputEnded();
    }

    private final Connection connection;
    private final FoldedLineDetector foldedLines = new FoldedLineDetector();
    private HttpMethod method = HttpMethod.GET;

    AnswerDecoder(Connection connection) {
        super(
                new HttpDecoderConfig()
                        .setMaxHeaderSize(MOST_HEADER_BYTES)
                        .setMaxChunkSize(CHUNK_BYTES)
                        .setAllowPartialChunks(true));
        this.connection = connection;
    }

    void expect(HttpMethod requestMethod) {
        method = requestMethod;
        foldedLines.expectHead();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof ByteBuf bytes && foldedLines.containsFoldedLine(bytes)) {
            bytes.release();
            connection.onFoldedLine();
            return;
        }
        super.channelRead(context, message);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages)
            throws Exception {
        if (connection.isAnswerExpected()) {
            super.decode(context, bytes, messages);
            return;
        }
        int count = bytes.readableBytes();
        bytes.skipBytes(count);
        connection.onUnexpectedBytes(count);
    }

    /** The decoder passes the exception on with a head that it marks as invalid. */
    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        if (!STATUS.matcher(initialLine[STATUS_INDEX]).matches()) {
            throw new IllegalArgumentException("invalid status " + initialLine[STATUS_INDEX]);
        }
        return super.createMessage(initialLine);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (event instanceof ChannelInputShutdownEvent) {
            connection.onInputEnded();
        }
        super.userEventTriggered(context, event);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
    }
}
