package org.bergamothoist.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.bergamothoist.standin.internal.Json;

/** Calls a stand-in over HTTP. */
public final class TestClient {

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String address;

    /** A whole answer. */
    public record Answer(int status, byte[] body, java.net.http.HttpHeaders headers) {
        JsonNode json() {
            return Json.read(body, JsonNode.class);
        }
    }

    /** Events of a stream up to its end; broken if the connection was lost. */
    public record Events(List<String> names, List<JsonNode> data, boolean broken) {
        public List<JsonNode> named(String name) {
            return Stream.iterate(0, index -> index < names.size(), index -> index + 1)
                    .filter(index -> names.get(index).equals(name))
                    .map(data::get)
                    .toList();
        }

        public JsonNode start() {
            return named("start").get(0);
        }

        public String text() {
            StringBuilder text = new StringBuilder();
            named("piece").forEach(piece -> text.append(piece.get("text").asText()));
            return text.toString();
        }
    }

    public TestClient(int port) {
        address = "http://127.0.0.1:" + port;
    }

    Answer call(String method, String path, Object body) {
        return call(method, path, Json.write(body), Map.of());
    }

    Answer get(String path) {
        return call("GET", path, new byte[0], Map.of());
    }

    public Answer call(String method, String path, byte[] body, Map<String, String> headers) {
        try {
            HttpResponse<byte[]> response =
                    client.send(
                            request(method, path, body, headers),
                            HttpResponse.BodyHandlers.ofByteArray());
            return new Answer(response.statusCode(), response.body(), response.headers());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    CompletableFuture<Events> complete(Object completion) {
        return stream(request("POST", "/v1/completions", Json.write(completion), Map.of()));
    }

    /** Sends a completion without holding a thread; fails if the connection is lost. */
    public CompletableFuture<Events> completeWhole(Object completion) {
        return client.sendAsync(
                        request("POST", "/v1/completions", Json.write(completion), Map.of()),
                        HttpResponse.BodyHandlers.ofString())
                .thenApply(
                        answer -> {
                            Events events = new Events(new ArrayList<>(), new ArrayList<>(), false);
                            answer.body().lines().forEach(line -> readLine(line, events));
                            return events;
                        });
    }

    CompletableFuture<Events> resume(String streamId, String incarnation, int from) {
        String path = "/v1/streams/" + streamId + "?from=" + from;
        return stream(request("GET", path, new byte[0], Map.of("Engine-Incarnation", incarnation)));
    }

    private CompletableFuture<Events> stream(HttpRequest request) {
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofLines())
                .thenApplyAsync(TestClient::read);
    }

    private static Events read(HttpResponse<Stream<String>> response) {
        Events events = new Events(new ArrayList<>(), new ArrayList<>(), false);
        try {
            response.body().forEach(line -> readLine(line, events));
            return events;
        } catch (UncheckedIOException e) {
            return new Events(events.names(), events.data(), true);
        }
    }

    private static void readLine(String line, Events events) {
        if (line.startsWith("event: ")) {
            events.names().add(line.substring("event: ".length()));
        } else if (line.startsWith("data: ")) {
            byte[] data = line.substring("data: ".length()).getBytes(StandardCharsets.UTF_8);
            events.data().add(Json.read(data, JsonNode.class));
        }
    }

    private HttpRequest request(
            String method, String path, byte[] body, Map<String, String> headers) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(URI.create(address + path))
                        .method(method, HttpRequest.BodyPublishers.ofByteArray(body));
        headers.forEach(builder::header);
        return builder.build();
    }
}
