package org.bergamothoist.daemon.http;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.bergamothoist.core.request.ConnectionHeaders;

/** Removes the headers that concern one connection only, and the host. */
public final class EndToEndHeaders {

    private static final String CONNECTION = "Connection";
    private static final String HOST = "Host";

    private EndToEndHeaders() {}

    /** Returns the headers without those of the hop and those that {@code Connection} names. */
    public static Map<String, List<String>> of(Map<String, List<String>> headers) {
        Set<String> removed = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        headers.forEach(
                (name, values) -> {
                    if (CONNECTION.equalsIgnoreCase(name)) {
                        removed.addAll(ConnectionHeaders.listedBy(values));
                    }
                });
        Map<String, List<String>> kept = new LinkedHashMap<>();
        headers.forEach(
                (name, values) -> {
                    boolean hop = ConnectionHeaders.contains(name) || HOST.equalsIgnoreCase(name);
                    if (!hop && !removed.contains(name)) {
                        kept.put(name, List.copyOf(values));
                    }
                });
        return kept;
    }
}
