package org.bergamothoist.gateway.wire;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/** How the end of a message's body is found (RFC 9112, section 6.3). */
public final class Framing {

    private Framing() {}

    /** Returns whether a message states where its body ends, by a length or by chunks. */
    public static boolean isStated(HttpMessage message) {
        return HttpUtil.isContentLengthSet(message) || HttpUtil.isTransferEncodingChunked(message);
    }

    /** Returns whether answers of a status have no body, whatever their headers say. */
    public static boolean isBodyless(HttpResponseStatus status) {
        int code = status.code();
        return code == HttpResponseStatus.NO_CONTENT.code()
                || code == HttpResponseStatus.NOT_MODIFIED.code();
    }

    /** Returns whether the connection can go on after an answer. */
    public static boolean endsBeforeConnection(HttpResponse answer) {
        return isStated(answer) || isBodyless(answer.status());
    }
}
