package org.bergamothoist.standin;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * A request as a stand-in received it.
 *
 * @param path decoded path, without the query
 * @param uri path and query as sent
 * @param clientPort TCP port of the client
 */
public record StandInRequest(
        String method, String path, String uri, HttpHeaders headers, byte[] body, int clientPort) {

    /** Returns the value of a header. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /** Returns the integer value of a query parameter, or the default if it is missing. */
    public long parameter(String name, long defaultValue) {
        List<String> values = new QueryStringDecoder(uri).parameters().get(name);
        return values == null ? defaultValue : Long.parseLong(values.get(0));
    }

    /** Returns the decoded segments of the path. */
    public List<String> segments() {
        String[] raw = new QueryStringDecoder(uri).rawPath().substring(1).split("/");
        return Arrays.stream(raw)
                .map(segment -> QueryStringDecoder.decodeComponent(segment.replace("+", "%2B")))
                .toList();
    }
}
