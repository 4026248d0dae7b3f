package org.bergamothoist.gateway.wire;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/** Removes the headers that concern one connection only (RFC 9110, section 7.6.1). */
public final class EndToEnd {

    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "content-length",
                    "expect",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");

    private EndToEnd() {}

    /**
     * Returns a copy without headers of the connection and of the body's framing.
     *
     * @param essential names that are kept even if {@code Connection} lists them
     */
    public static HttpHeaders of(HttpHeaders headers, Predicate<String> essential) {
        Set<String> listed = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String token : value.split(",")) {
                listed.add(token.strip());
            }
        }
        HttpHeaders kept =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey();
            boolean dropped = listed.contains(name) && !essential.test(name);
            if (!dropped && !HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT))) {
                kept.add(name, header.getValue());
            }
        }
        return kept;
    }
}
