package org.bergamothoist.core.request;

import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

/** Hop-by-hop headers, which a proxy must not forward (RFC 9110, section 7.6.1). */
public final class ConnectionHeaders {

    private static final Set<String> NAMES =
            Set.of(
                    "connection",
                    "expect",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");

    private ConnectionHeaders() {}

    /** Returns whether a header is always hop-by-hop; case is ignored. */
    public static boolean contains(String name) {
        return NAMES.contains(name.toLowerCase(Locale.ROOT));
    }

    /**
     * Returns the additional hop-by-hop headers that {@code Connection} headers name.
     *
     * @param values values of the {@code Connection} headers
     * @return a case-insensitive set of header names
     */
    public static Set<String> listedBy(Iterable<String> values) {
        Set<String> names = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        for (String value : values) {
            for (String name : value.split(",")) {
                names.add(name.strip());
            }
        }
        return names;
    }
}
