package org.bergamothoist.gateway.caller;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.bergamothoist.gateway.wire.ForwardingMetadata;
import org.bergamothoist.gateway.wire.WireDialect;

/**
 * What a caller's request keeps on its way to any target.
 *
 * @param endToEndHeaders the caller's headers that are passed on
 */
record TargetRequest(RequestContext request, HttpHeaders endToEndHeaders, WireDialect dialect) {

    /** Returns the head of the request to one target. */
    HttpRequest head(ForwardingMetadata forwarding) {
        HttpRequest head =
                new DefaultHttpRequest(
                        HttpVersion.HTTP_1_1,
                        request.head().method(),
                        request.head().requestTarget(),
                        endToEndHeaders.copy());
        dialect.writeForwardingMetadata(head.headers(), forwarding);
        return head;
    }

    /** Returns the head of the request to one target, with the length of its body. */
    HttpRequest head(ForwardingMetadata forwarding, int bodyBytes) {
        HttpRequest head = head(forwarding);
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
        return head;
    }
}
