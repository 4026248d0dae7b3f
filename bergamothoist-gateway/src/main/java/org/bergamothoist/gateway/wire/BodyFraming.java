package org.bergamothoist.gateway.wire;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/** Determines how the length of a message body is delimited (RFC 9112, section 6.3). */
public final class BodyFraming {

    private BodyFraming() {}

    /** Returns whether a message has a {@code Content-Length} or is sent in chunks. */
    public static boolean isExplicit(HttpMessage message) {
        return HttpUtil.isContentLengthSet(message) || HttpUtil.isTransferEncodingChunked(message);
    }

    /** Returns whether responses with a status have no body, regardless of their headers. */
    public static boolean isBodyless(HttpResponseStatus status) {
        int code = status.code();
        return code == HttpResponseStatus.NO_CONTENT.code()
                || code == HttpResponseStatus.NOT_MODIFIED.code();
    }

    /** Returns whether the body of a response ends without closing the connection. */
    public static boolean isSelfDelimited(HttpResponse response) {
        return isExplicit(response) || isBodyless(response.status());
    }
}
