package org.bergamothoist.gateway.wire;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.bergamothoist.core.request.ConnectionHeaders;

/** Selects the end-to-end headers of a message (RFC 9110, section 7.6.1). */
public final class EndToEndHeaders {

    private EndToEndHeaders() {}

    /**
     * Returns a copy without hop-by-hop headers and {@code Content-Length}. Header values are not
     * validated again.
     *
     * @param neverHopByHop matches names that are kept even if {@code Connection} lists them
     */
    public static HttpHeaders of(HttpHeaders headers, Predicate<String> neverHopByHop) {
        Set<String> listed = ConnectionHeaders.listedBy(headers.getAll(HttpHeaderNames.CONNECTION));
        HttpHeaders kept =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey();
            boolean listedAsHopByHop = listed.contains(name) && !neverHopByHop.test(name);
            boolean contentLength = HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name);
            if (!listedAsHopByHop && !contentLength && !ConnectionHeaders.contains(name)) {
                kept.add(name, header.getValue());
            }
        }
        return kept;
    }
}
