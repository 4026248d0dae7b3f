package org.bergamothoist.gateway.client;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes answers; one to a HEAD request has no body whatever its headers say. */
final class AnswerDecoder extends HttpResponseDecoder {

    /** Size of an answer's header section, in bytes; a bound on memory only. */
    private static final int MOST_HEADER_BYTES = 32_768;

    /** Size of one piece of a body, in bytes: several pieces stay in flight for a large body. */
    private static final int CHUNK_BYTES = 16_384;

    private HttpMethod method = HttpMethod.GET;

    AnswerDecoder() {
        super(
                new HttpDecoderConfig()
                        .setMaxHeaderSize(MOST_HEADER_BYTES)
                        .setMaxChunkSize(CHUNK_BYTES)
                        .setAllowPartialChunks(true));
    }

    void expect(HttpMethod requestMethod) {
        method = requestMethod;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
    }
}
