package org.bergamothoist.core.request;

import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

/** The headers that concern one connection only (RFC 9110, section 7.6.1). */
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

    /** Returns whether a header always concerns the connection. */
    public static boolean contains(String name) {
        return NAMES.contains(name.toLowerCase(Locale.ROOT));
    }

    /**
     * Returns the names that {@code Connection} headers list, without regard to case.
     *
     * @param values values of these headers
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
