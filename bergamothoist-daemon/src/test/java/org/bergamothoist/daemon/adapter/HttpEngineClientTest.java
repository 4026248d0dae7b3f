package org.bergamothoist.daemon.adapter;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.platform.BlockTransfer;
import org.bergamothoist.core.platform.CacheEvent;
import org.bergamothoist.core.platform.EngineCall;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.EngineResume;
import org.bergamothoist.core.platform.LoadedModel;
import org.bergamothoist.core.platform.PlatformException;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetKind;
import org.bergamothoist.core.platform.TargetOrder;
import org.bergamothoist.core.platform.TargetStream;
import org.bergamothoist.core.prompt.BlockHashChain;
import org.bergamothoist.core.prompt.Prompt;
import org.bergamothoist.daemon.adapter.SocketServer.Connection;
import org.bergamothoist.daemon.adapter.SocketServer.Script;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class HttpEngineClientTest {

    private static final ModelKey KEY = new ModelKey("m", "base", "1");
    private static final OrganisationId ORGANISATION = new OrganisationId("clinic");
    private static final RequestId ID = RequestId.create(Instant.EPOCH, new Random(1));

    private final OutboundHttp http =
            new OutboundHttp(Duration.ofMillis(500), Duration.ofSeconds(5));
    private final HttpEngineClient client = new HttpEngineClient(http);

    @AfterEach
    void close() {
        http.close();
    }

    private static EngineCall call(Target target, String prompt) {
        return new EngineCall(
                target,
                ID,
                1,
                ORGANISATION,
                KEY,
                new Prompt(prompt),
                new BlockHashChain(new long[] {0xabL}, 5000, 4000),
                "before",
                7,
                3,
                "salt");
    }

    private TargetStream start(SocketServer server, EventLog log) {
        return client.start(call(server.target(TargetKind.MODEL_ENGINE), "p"), log);
    }

    /** Guards against fields that the engine does not understand, and events lost or reordered. */
    @Test
    void streamsAnAnswer() throws Exception {
        Script script =
                (connection, request) -> {
                    connection.startEvents();
                    connection.start("s1");
                    connection.piece(0, "a");
                    connection.piece(1, "b");
                    connection.event("done", "{}");
                    connection.close();
                };
        try (SocketServer server = new SocketServer(script)) {
            EventLog log = new EventLog();
            start(server, log).request(10);
            assertThat(log.awaitEnd())
                    .containsExactly(
                            "sending", "started s1", "piece 0 a", "piece 1 b", "completed");
            assertThat(server.requests.get(0))
                    .startsWith("POST /v1/completions HTTP/1.1")
                    .contains("\"request_id\":\"" + ID + "\"", "\"attempt\":1")
                    .contains("\"organisation\":\"clinic\"", "\"continuation\":\"before\"")
                    .contains("\"block_hashes\":[\"00000000000000ab\"]", "\"max_tokens\":7")
                    .contains("\"cache_salt\":\"salt\"", "\"stream\":true");
        }
    }

    /** Guards against failures that are taken for another kind, which would break G5 or G6. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("failures")
    void mapsFailures(String expected, Script script) throws Exception {
        try (SocketServer server = new SocketServer(script)) {
            EventLog log = new EventLog();
            start(server, log).request(10);
            List<String> events = log.awaitEnd();
            assertThat(events).startsWith("sending").endsWith("failed " + expected);
            assertThat(server.requests).hasSize(1);
            assertThat(server.connections()).isEqualTo(1);
        }
    }

    static Stream<Arguments> failures() {
        return Stream.of(
                failure("REFUSED", (connection, request) -> connection.answer(503, "{}")),
                failure("REFUSED", (connection, request) -> connection.answer(409, "{}")),
                failure("FAILED", (connection, request) -> connection.answer(500, "{}")),
                failure("FAILED", (connection, request) -> connection.answer(404, "{}")),
                failure(
                        "FAILED",
                        (connection, request) ->
                                connection.write(
                                        "HTTP/1.1 307 X\r\nLocation: /other\r\n"
                                                + "Content-Length: 0\r\n\r\n")),
                failure("BROKEN", (connection, request) -> connection.reset()),
                failure("BROKEN", (connection, request) -> connection.close()),
                failure(
                        "BROKEN",
                        (connection, request) -> {
                            started(connection);
                            connection.close();
                        }),
                failure(
                        "BROKEN",
                        (connection, request) -> {
                            started(connection);
                            connection.write("event: piece\ndata: {\"index\":1,");
                            connection.reset();
                        }),
                failure(
                        "FAILED",
                        (connection, request) -> {
                            started(connection);
                            connection.event("error", "{\"message\":\"out of memory\"}");
                        }),
                failure(
                        "FAILED",
                        (connection, request) -> {
                            started(connection);
                            connection.event("piece", "no JSON");
                        }),
                failure(
                        "FAILED",
                        (connection, request) -> {
                            started(connection);
                            connection.piece(2, "gap");
                        }),
                failure(
                        "FAILED",
                        (connection, request) -> {
                            started(connection);
                            connection.piece(1, "x".repeat(20_000));
                        }));
    }

    private static Arguments failure(String expected, Script script) {
        return Arguments.of(expected, script);
    }

    private static void started(Connection connection) throws Exception {
        connection.startEvents();
        connection.start("s1");
        connection.piece(0, "a");
    }

    /** Guards against "sent" being assumed although no connection came about. */
    @Test
    void refusedConnectionIsNotSent() throws Exception {
        int port;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = closed.getLocalPort();
        }
        Target target =
                new Target(
                        new TargetId("t1"), TargetKind.MODEL_ENGINE, "g", "127.0.0.1", port, "a");
        EventLog log = new EventLog();
        client.start(call(target, "p"), log);
        assertThat(log.awaitEnd()).containsExactly("failed NOT_SENT");
    }

    /** Guards against bytes that leave before the sending is known: G5 depends on the order. */
    @Test
    void reportsSendingBeforeAnyByteLeaves() throws Exception {
        CountDownLatch proceed = new CountDownLatch(1);
        try (SocketServer server =
                new SocketServer((connection, request) -> connection.answer(503, ""))) {
            EventLog log = new EventLog();
            log.onSending = () -> awaitQuietly(proceed);
            start(server, log);
            await().atMost(Duration.ofSeconds(20)).until(() -> server.connections() == 1);
            assertThat(server.requests).isEmpty();
            proceed.countDown();
            assertThat(log.awaitEnd()).containsExactly("sending", "failed REFUSED");
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards against unbounded buffering: without requests the engine's writes must stall. */
    @Test
    void demandReachesTheEngine() throws Exception {
        AtomicInteger written = new AtomicInteger();
        int pieces = 4000;
        Script script =
                (connection, request) -> {
                    connection.startEvents();
                    connection.start("s1");
                    for (int index = 0; index < pieces; index++) {
                        connection.piece(index, "x".repeat(8000));
                        written.set(index + 1);
                    }
                    connection.event("done", "{}");
                    connection.close();
                };
        try (SocketServer server = new SocketServer(script)) {
            EventLog log = new EventLog();
            TargetStream stream = start(server, log);
            stream.request(1);
            await().atMost(Duration.ofSeconds(20)).until(() -> log.events().size() == 3);
            int before = -1;
            while (before != written.get()) {
                before = written.get();
                Thread.sleep(300);
            }
            assertThat(before).as("pieces written without demand").isLessThan(pieces);
            assertThat(log.events()).hasSize(3);
            stream.request(pieces);
            assertThat(log.awaitEnd()).hasSize(pieces + 3).endsWith("completed");
        }
    }

    /** Guards against answers that reach the wrong caller when streams share a client (G4). */
    @Test
    void concurrentStreamsDoNotCross() throws Exception {
        int streams = 40;
        Script script =
                (connection, request) -> {
                    String name = request.replaceAll("(?s).*\"prompt\":\"([^\"]*)\".*", "$1");
                    connection.startEvents();
                    connection.start(name);
                    for (int index = 0; index < 200; index++) {
                        connection.piece(index, name);
                    }
                    connection.event("done", "{}");
                    connection.close();
                };
        try (SocketServer server = new SocketServer(script)) {
            EventLog[] logs = new EventLog[streams];
            for (int index = 0; index < streams; index++) {
                logs[index] = new EventLog();
                Target target = server.target(TargetKind.MODEL_ENGINE);
                client.start(call(target, "stream-" + index), logs[index]).request(1000);
            }
            for (int index = 0; index < streams; index++) {
                String own = "stream-" + index;
                List<String> events = logs[index].awaitEnd();
                assertThat(events).hasSize(203).contains("started " + own);
                assertThat(events.subList(2, 202)).allMatch(event -> event.endsWith(" " + own));
            }
            assertThat(server.requests).hasSize(streams);
        }
    }

    /** Guards against a stale pooled connection: each dispatch must open its own. */
    @Test
    void dispatchesNeverShareConnections() throws Exception {
        try (SocketServer server =
                new SocketServer((connection, request) -> connection.answer(503, "{}"))) {
            for (int index = 0; index < 3; index++) {
                EventLog log = new EventLog();
                start(server, log);
                log.awaitEnd();
            }
            assertThat(server.connections()).isEqualTo(3);
            assertThat(server.requests).hasSize(3);
        }
    }

    /** Guards against an engine that works on for nobody, and events after a cancel. */
    @Test
    void cancelTellsTheEngine() throws Exception {
        Script script =
                (connection, request) -> {
                    if (request.startsWith("DELETE")) {
                        connection.write("HTTP/1.1 204 No Content\r\n\r\n");
                        return;
                    }
                    started(connection);
                };
        try (SocketServer server = new SocketServer(script)) {
            EventLog log = new EventLog();
            TargetStream stream = start(server, log);
            stream.request(1);
            await().atMost(Duration.ofSeconds(20)).until(() -> log.events().size() == 3);
            stream.cancel();
            await().atMost(Duration.ofSeconds(20)).until(() -> server.requests.size() == 2);
            assertThat(server.requests.get(1)).startsWith("DELETE /v1/streams/s1 ");
            assertThat(log.events()).hasSize(3);
        }
    }

    /** Guards against resumption at the wrong place or of another incarnation's stream. */
    @Test
    void resumes() throws Exception {
        Script script =
                (connection, request) -> {
                    if (!request.contains("from=3")) {
                        connection.answer(404, "{}");
                        return;
                    }
                    connection.startEvents();
                    connection.start("s 1");
                    connection.piece(3, "d");
                    connection.event("done", "{}");
                    connection.close();
                };
        try (SocketServer server = new SocketServer(script)) {
            EventLog log = new EventLog();
            client.resume(resume(server, 3), log).request(5);
            assertThat(log.awaitEnd())
                    .containsExactly("sending", "started s 1", "piece 3 d", "completed");
            assertThat(server.requests.get(0))
                    .startsWith("GET /v1/streams/s%201?from=3 ")
                    .contains("Engine-Incarnation: i1");
            EventLog unknown = new EventLog();
            client.resume(resume(server, 4), unknown);
            assertThat(unknown.awaitEnd()).endsWith("failed STREAM_UNKNOWN");
        }
    }

    private static EngineResume resume(SocketServer server, int from) {
        return new EngineResume(
                server.target(TargetKind.MODEL_ENGINE),
                new EngineIncarnation("i1"),
                "s 1",
                ORGANISATION,
                from);
    }

    /** Guards against control calls that misread the published form. */
    @Test
    void makesControlCalls() throws Exception {
        Script script =
                (connection, request) -> {
                    if (request.startsWith("GET /v1/report")) {
                        connection.answer(
                                200,
                                "{\"incarnation\":\"i1\",\"models\":[{\"model\":\"m\",\"adapter\":"
                                    + "\"base\",\"version\":\"1\",\"state\":\"loading\"}],"
                                    + "\"queued_tokens\":5,\"running_streams\":2,\"measured_at\":"
                                    + "\"2026-01-01T00:00:00Z\",\"last_event_sequence\":9,"
                                    + "\"leaving\":true,\"fencing\":false}");
                    } else if (request.startsWith("GET /v1/cache/events?after=3 ")) {
                        connection.answer(
                                200,
                                "{\"incarnation\":\"i1\",\"events\":[{\"sequence\":4,\"kind\":"
                                        + "\"removed\",\"block_hash\":\"ffffffffffffffff\"}]}");
                    } else if (request.startsWith("GET /v1/cache/snapshot ")) {
                        connection.answer(
                                200,
                                "{\"incarnation\":\"i1\",\"sequence\":4,\"block_hashes\":[\"1\"]}");
                    } else {
                        connection.answer(202, "");
                    }
                };
        try (SocketServer server = new SocketServer(script)) {
            Target target = server.target(TargetKind.MODEL_ENGINE);
            EngineReport report = client.report(target).toCompletableFuture().get();
            assertThat(report.models())
                    .containsExactly(new LoadedModel(KEY, LoadedModel.State.LOADING));
            assertThat(report.leaving()).isTrue();
            assertThat(client.cacheEvents(target, 3).toCompletableFuture().get().events())
                    .containsExactly(new CacheEvent(4, CacheEvent.Kind.REMOVED, -1));
            assertThatThrownBy(() -> client.cacheSnapshot(target).toCompletableFuture().get())
                    .hasCauseInstanceOf(PlatformException.class)
                    .hasMessageContaining("not a block hash");
            client.order(target, new TargetOrder(Set.of(KEY), "serve", 12, Instant.EPOCH))
                    .toCompletableFuture()
                    .get();
            client.transferBlocks(
                            target,
                            ORGANISATION,
                            new BlockTransfer(
                                    BlockTransfer.Direction.IMPORT, KEY, Arrays.asList(1L, -1L)))
                    .toCompletableFuture()
                    .get();
            assertThat(server.requests.get(3)).contains("\"fencing_number\":12");
            assertThat(server.requests.get(4))
                    .contains("\"import\"", "[\"0000000000000001\",\"ffffffffffffffff\"]");
        }
    }
}
