package org.bergamothoist.gateway.wire;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.bergamothoist.core.request.ConnectionHeaders;

/** Removes the headers that concern one connection only, and the length of the body. */
public final class EndToEnd {

    private EndToEnd() {}

    /**
     * Returns a copy without headers of the connection and of the body's framing.
     *
     * @param essential names that are kept even if {@code Connection} lists them
     */
    public static HttpHeaders of(HttpHeaders headers, Predicate<String> essential) {
        Set<String> listed = ConnectionHeaders.listedBy(headers.getAll(HttpHeaderNames.CONNECTION));
        HttpHeaders kept =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey();
            boolean dropped = listed.contains(name) && !essential.test(name);
            boolean framing = HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name);
            if (!dropped && !framing && !ConnectionHeaders.contains(name)) {
                kept.add(name, header.getValue());
            }
        }
        return kept;
    }
}
