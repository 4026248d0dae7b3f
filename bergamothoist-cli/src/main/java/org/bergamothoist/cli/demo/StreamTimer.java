package org.bergamothoist.cli.demo;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Sends a completion and notes when its pieces arrive, the same way for engines and daemons. */
final class StreamTimer {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String PIECE = "event: piece";

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /**
     * When pieces arrived.
     *
     * @param firstNanoseconds time from sending to the first piece
     * @param gapsNanoseconds times between pieces
     */
    record Times(long firstNanoseconds, List<Long> gapsNanoseconds) {

        /** Returns the number of pieces. */
        int pieces() {
            return gapsNanoseconds.size() + 1;
        }
    }

    /** Reads the whole stream on the calling thread; fails if it has no piece. */
    Times send(String url, String key, Map<String, Object> body) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(url))
                        .header("Authorization", "Bearer " + key)
                        .header("Content-Type", "application/json")
                        .POST(
                                HttpRequest.BodyPublishers.ofByteArray(
                                        MAPPER.writeValueAsBytes(body)))
                        .build();
        long begin = System.nanoTime();
        List<Long> arrivals = new ArrayList<>();
        HttpResponse<Stream<String>> response =
                client.send(request, HttpResponse.BodyHandlers.ofLines());
        try (Stream<String> lines = response.body()) {
            lines.filter(PIECE::equals).forEach(line -> arrivals.add(System.nanoTime()));
        }
        if (arrivals.isEmpty()) {
            throw new IllegalStateException(url + " answered " + response.statusCode());
        }
        List<Long> gaps = new ArrayList<>();
        for (int index = 1; index < arrivals.size(); index++) {
            gaps.add(arrivals.get(index) - arrivals.get(index - 1));
        }
        return new Times(arrivals.get(0) - begin, gaps);
    }
}
