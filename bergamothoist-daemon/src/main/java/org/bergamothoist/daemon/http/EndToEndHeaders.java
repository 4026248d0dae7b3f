package org.bergamothoist.daemon.http;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Removes the headers that concern one connection only (RFC 9110, section 7.6.1). */
public final class EndToEndHeaders {

    private static final String CONNECTION = "Connection";
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "expect",
                    "host",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");

    private EndToEndHeaders() {}

    /** Returns the headers without those of the hop and those that {@code Connection} names. */
    public static Map<String, List<String>> of(Map<String, List<String>> headers) {
        Set<String> removed = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        headers.forEach(
                (name, values) -> {
                    if (CONNECTION.equalsIgnoreCase(name)) {
                        values.forEach(value -> removed.addAll(tokens(value)));
                    }
                });
        Map<String, List<String>> kept = new LinkedHashMap<>();
        headers.forEach(
                (name, values) -> {
                    boolean hop = HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT));
                    if (!hop && !removed.contains(name)) {
                        kept.put(name, List.copyOf(values));
                    }
                });
        return kept;
    }

    private static List<String> tokens(String value) {
        List<String> tokens = new ArrayList<>();
        for (String token : value.split(",")) {
            tokens.add(token.strip());
        }
        return tokens;
    }
}
