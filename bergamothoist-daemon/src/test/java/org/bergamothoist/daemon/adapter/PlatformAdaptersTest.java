package org.bergamothoist.daemon.adapter;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.platform.LogPage;
import org.bergamothoist.core.platform.PlatformException;
import org.bergamothoist.core.platform.ServiceCall;
import org.bergamothoist.core.platform.TargetKind;
import org.bergamothoist.core.platform.VirtualMachine;
import org.bergamothoist.daemon.adapter.SocketServer.Script;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlatformAdaptersTest {

    private static final LogRecord RECORD = new LogRecord.Unknown("r");
    private static final RequestId ID = RequestId.create(Instant.EPOCH, new Random(1));

    private final OutboundHttp http =
            new OutboundHttp(Duration.ofMillis(500), Duration.ofSeconds(2));

    @AfterEach
    void close() {
        http.close();
    }

    /** Returns a client that encodes a record as its reason. */
    private HttpLogService log(SocketServer server) {
        return log(server, http);
    }

    private static HttpLogService log(SocketServer server, OutboundHttp client) {
        return new HttpLogService(
                client,
                server.base(),
                record -> ((LogRecord.Unknown) record).reason().getBytes(),
                bytes -> new LogRecord.Unknown(new String(bytes)));
    }

    /** Guards against records or offsets that are misread. */
    @Test
    void appendsAndReadsRecords() throws Exception {
        Script script =
                (connection, request) -> {
                    if (request.startsWith("POST /records ")) {
                        connection.answer(201, "{\"offset\":8}");
                    } else {
                        connection.answer(
                                200,
                                "{\"first_retained_offset\":2,\"end_offset\":9,\"records\":[{"
                                        + "\"offset\":8,\"append_time\":\"1970-01-01T00:00:00Z\","
                                        + "\"payload\":\"cg==\"}]}");
                    }
                };
        try (SocketServer server = new SocketServer(script)) {
            assertThat(log(server).append(RECORD).toCompletableFuture().get()).isEqualTo(8);
            LogPage page = log(server).read(5, 100).toCompletableFuture().get();
            assertThat(page.endOffset()).isEqualTo(9);
            assertThat(page.entries().get(0).record()).isEqualTo(RECORD);
            assertThat(server.requests.get(0)).endsWith("\r\n\r\nr");
            assertThat(server.requests.get(1)).startsWith("GET /records?from=5&maximum=100 ");
        }
    }

    /** Guards against a hidden second append after any failure of the first. */
    @ParameterizedTest
    @CsvSource({"reset", "close", "503", "truncated", "silent"})
    void neverAppendsTwice(String failure) throws Exception {
        Script script =
                (connection, request) -> {
                    switch (failure) {
                        case "reset" -> connection.reset();
                        case "close" -> connection.close();
                        case "503" -> connection.answer(503, "out");
                        case "truncated" -> {
                            connection.write("HTTP/1.1 201 X\r\nContent-Length: 20\r\n\r\n{");
                            connection.close();
                        }
                        default -> Thread.sleep(20_000);
                    }
                };
        try (SocketServer server = new SocketServer(script)) {
            assertThatThrownBy(() -> log(server).append(RECORD).toCompletableFuture().get())
                    .hasCauseInstanceOf(PlatformException.class);
            assertThat(server.requests).hasSize(1);
        }
    }

    /**
     * Guards against an append written to a pooled connection that the server is closing: it would
     * fail although the log is well, and nobody would know whether it took effect.
     */
    @Test
    void appendsOverFreshConnections() throws Exception {
        Script script =
                (connection, request) -> {
                    connection.answer(201, "{\"offset\":1}");
                    connection.close();
                };
        try (SocketServer server = new SocketServer(script)) {
            for (int index = 1; index <= 50; index++) {
                log(server).append(RECORD).toCompletableFuture().get();
                assertThat(server.requests).hasSize(index);
                assertThat(server.connections()).isEqualTo(index);
            }
        }
    }

    /**
     * Guards against a read over a stale connection, which fails or is repeated by the client
     * itself.
     */
    @Test
    void readsOverFreshConnections() throws Exception {
        Script script =
                (connection, request) -> {
                    connection.answer(200, "{\"vms\":[]}");
                    connection.close();
                };
        try (SocketServer server = new SocketServer(script)) {
            HttpVirtualMachineList list = new HttpVirtualMachineList(http, server.base());
            for (int index = 1; index <= 50; index++) {
                assertThat(list.read().toCompletableFuture().get()).isEmpty();
                assertThat(server.requests).hasSize(index);
                assertThat(server.connections()).isEqualTo(index);
            }
        }
    }

    /** Guards against an answer that exhausts the memory. */
    @Test
    void boundsAnswers() throws Exception {
        Script script =
                (connection, request) -> {
                    connection.write("HTTP/1.1 200 OK\r\n\r\n");
                    for (int index = 0; index < 18; index++) {
                        connection.write(" ".repeat(1024 * 1024));
                    }
                    connection.close();
                };
        // Size ends these calls; sixteen megabytes may take longer than the other tests' time-out.
        OutboundHttp patient = new OutboundHttp(Duration.ofMillis(500), Duration.ofSeconds(60));
        try (SocketServer server = new SocketServer(script)) {
            HttpLogService log = log(server, patient);
            assertThatThrownBy(() -> log.read(1, 1).toCompletableFuture().get())
                    .hasMessageContaining("larger than");
            // A page of several records is read again with fewer, down to one.
            assertThatThrownBy(() -> log.read(1, 4).toCompletableFuture().get())
                    .hasMessageContaining("larger than");
            assertThat(server.requests).hasSize(4);
            assertThat(server.requests.get(3)).contains("maximum=1 ");
        } finally {
            patient.close();
        }
    }

    /** Guards against VMs whose role or state is misread. */
    @Test
    void readsVirtualMachines() throws Exception {
        Script script =
                (connection, request) ->
                        connection.answer(
                                200,
                                """
                                {"vms":[{"name":"v","role":"model_engine","group":"g",
                                "host":"10.0.0.1","port":7,"data_centre":"a","state":"leaving"}]}
                                """);
        try (SocketServer server = new SocketServer(script)) {
            assertThat(
                            new HttpVirtualMachineList(http, server.base())
                                    .read()
                                    .toCompletableFuture()
                                    .get())
                    .containsExactly(
                            new VirtualMachine(
                                    "v",
                                    VirtualMachine.Role.MODEL_ENGINE,
                                    "g",
                                    "10.0.0.1",
                                    7,
                                    "a",
                                    VirtualMachine.State.LEAVING));
        }
    }

    /** Guards against a rate limit that reads as "the weights do not exist". */
    @Test
    void asksStores() throws Exception {
        Script script =
                (connection, request) -> {
                    if (request.startsWith("HEAD /weights/m/base/1 ")) {
                        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
                    } else if (request.startsWith("HEAD /weights/m/base/2 ")) {
                        connection.write("HTTP/1.1 404 X\r\n\r\n");
                    } else if (request.startsWith("HEAD")) {
                        connection.write("HTTP/1.1 429 X\r\n\r\n");
                    } else {
                        connection.answer(200, "{\"stored_blocks\":9}");
                    }
                };
        try (SocketServer server = new SocketServer(script)) {
            HttpWeightStore weights = new HttpWeightStore(http, server.base());
            assertThat(weights.contains(key("1")).toCompletableFuture().get()).isTrue();
            assertThat(weights.contains(key("2")).toCompletableFuture().get()).isFalse();
            assertThatThrownBy(() -> weights.contains(key("3")).toCompletableFuture().get())
                    .hasCauseInstanceOf(PlatformException.class);
            assertThat(
                            new HttpCacheStore(http, server.base())
                                    .storedBlocks(
                                            new OrganisationId("o"), key("1"), List.of(1L, 2L))
                                    .toCompletableFuture()
                                    .get())
                    .isEqualTo(2);
        }
    }

    private static ModelKey key(String version) {
        return new ModelKey("m", "base", version);
    }

    private static ServiceCall serviceCall(SocketServer server) {
        return new ServiceCall(
                server.target(TargetKind.PLAIN_SERVICE),
                ID,
                "PUT",
                "/a%20b?x=%2F&y",
                Map.of(
                        "Content-Type", List.of("text/odd"),
                        "X-Trace", List.of("1", "2"),
                        "Authorization", List.of("Bearer secret"),
                        "Connection", List.of("X-Hop"),
                        "X-Hop", List.of("1")),
                "body".getBytes());
    }

    /** Guards against a changed call: path, body and end-to-end headers must arrive as sent. */
    @Test
    void forwardsServiceCallUnchanged() throws Exception {
        Script script =
                (connection, request) -> {
                    connection.write(
                            "HTTP/1.1 418 X\r\nX-Answer: 1\r\nKeep-Alive: 5\r\n"
                                    + "Content-Length: 2\r\n\r\nok");
                };
        try (SocketServer server = new SocketServer(script)) {
            EventLog log = new EventLog();
            new HttpServiceClient(http).start(serviceCall(server), log).request(5);
            assertThat(log.awaitEnd())
                    .containsExactly("sending", "head 418", "body ok", "completed");
            assertThat(log.headers)
                    .containsOnlyKeys("X-Answer", "Content-Length")
                    .containsEntry("X-Answer", List.of("1"));
            assertThat(server.requests.get(0))
                    .startsWith("PUT /a%20b?x=%2F&y HTTP/1.1\r\n")
                    .contains("Content-Type: text/odd\r\n", "X-Trace: 1\r\n", "X-Trace: 2\r\n")
                    .contains("Request-Id: " + ID + "\r\n")
                    .doesNotContain(
                            "secret",
                            "X-Hop",
                            "User-Agent",
                            "keep-alive",
                            "Upgrade",
                            "Accept-Encoding")
                    .endsWith("\r\n\r\nbody");
        }
    }

    /** Guards against taking the close at the end of a crash for the sure end of an answer. */
    @Test
    void reportsThatOnlyTheCloseShowsTheEndOfAServiceAnswer() throws Exception {
        Script script =
                (connection, request) -> {
                    connection.write("HTTP/1.1 200 X\r\n\r\nok");
                    connection.close();
                };
        try (SocketServer server = new SocketServer(script)) {
            EventLog log = new EventLog();
            new HttpServiceClient(http).start(serviceCall(server), log).request(5);
            assertThat(log.awaitEnd()).endsWith("body ok", "completed by close");
        }
    }

    /** Guards against a truncated answer that passes for a whole one (G4). */
    @ParameterizedTest
    @CsvSource({"length", "chunked"})
    void reportsTruncatedServiceAnswer(String framing) throws Exception {
        Script script =
                (connection, request) -> {
                    connection.write(
                            "length".equals(framing)
                                    ? "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nok"
                                    : "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
                                            + "2\r\nok\r\n");
                    connection.close();
                };
        try (SocketServer server = new SocketServer(script)) {
            EventLog log = new EventLog();
            new HttpServiceClient(http).start(serviceCall(server), log).request(5);
            // Whether the bytes before the break still arrive is left to the connection.
            assertThat(log.awaitEnd())
                    .startsWith("sending", "head 200")
                    .endsWith("failed BROKEN")
                    .doesNotContain("completed");
            assertThat(server.requests).hasSize(1);
        }
    }
}
