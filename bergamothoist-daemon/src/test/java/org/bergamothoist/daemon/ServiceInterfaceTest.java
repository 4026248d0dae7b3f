package org.bergamothoist.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import java.io.EOFException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.request.Outcome;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ServiceInterfaceTest {

    private static final RequestId ID = RequestId.create(Instant.EPOCH, new Random(1));

    private static TestDaemon daemon;

    @BeforeAll
    static void start() {
        daemon = new TestDaemon();
    }

    @AfterAll
    static void stop() {
        daemon.close();
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    private static RawClient call(String... headers) throws Exception {
        String[] all = new String[headers.length + 1];
        System.arraycopy(headers, 0, all, 1, headers.length);
        all[0] = "Authorization: Bearer known";
        return daemon.connect()
                .send("POST", "/v1/services/werkbank-app/bookings?slot=%32", "{\"a\":1}", all);
    }

    /** Guards against changed calls and answers: body, path, query and headers. */
    @Test
    void passesCallAndAnswerUnchanged() throws Exception {
        try (RawClient client =
                call("X-Trace: 1", "Connection: X-Hop", "X-Hop: 2", "Accept-Encoding: gzip")) {
            FakeRouter.Running running = daemon.router.next();
            assertThat(running.call.service()).isEqualTo("werkbank-app");
            assertThat(running.call.method()).isEqualTo("POST");
            assertThat(running.call.pathAndQuery()).isEqualTo("/bookings?slot=%32");
            assertThat(new String(running.call.body(), StandardCharsets.UTF_8))
                    .isEqualTo("{\"a\":1}");
            assertThat(running.call.headers())
                    .containsEntry("X-Trace", List.of("1"))
                    .doesNotContainKeys("Authorization", "X-Hop", "Connection", "Content-Length");
            assertThat(running.call.callerKey()).isEqualTo("known");
            String text = "answer ".repeat(500);
            running.answer.onHead(
                    ID,
                    201,
                    Map.of(
                            "Content-Type", List.of("text/odd"),
                            "Keep-Alive", List.of("7"),
                            "Request-Outcome", List.of("not_run"),
                            "Content-Length", List.of("" + text.length())));
            running.answer.onBody(bytes(text));
            running.answer.onOutcome(ID, new Outcome.Answered());
            assertThat(client.answer())
                    .startsWith("HTTP/1.1 201")
                    .contains("text/odd", "Request-Id: " + ID)
                    .doesNotContain("Keep-Alive", "Request-Outcome", "gzip")
                    .endsWith(text);
        }
    }

    /** Guards against a cut answer that its caller takes for a whole one (G4). */
    @Test
    void cutsConnectionWhenAnswerIsNotWhole() throws Exception {
        try (RawClient client = call()) {
            FakeRouter.Running running = daemon.router.next();
            running.answer.onHead(ID, 200, Map.of());
            running.answer.onBody(bytes("half"));
            assertThat(client.head()).startsWith("HTTP/1.1 200");
            running.answer.onOutcome(
                    ID, new Outcome.Unknown(ErrorCode.TARGET_FAILED, "service died"));
            assertThatThrownBy(client::chunks).isInstanceOf(EOFException.class);
        }
    }

    /** Guards against confusing the daemon's refusal with the service's own answer. */
    @Test
    void marksOwnRefusals() throws Exception {
        try (RawClient client = call()) {
            daemon.router
                    .next()
                    .answer
                    .onOutcome(ID, Outcome.notRun(ErrorCode.LOG_UNAVAILABLE, "log is down"));
            assertThat(client.answer())
                    .startsWith("HTTP/1.1 503")
                    .contains("Request-Outcome: not_run", "LOG_UNAVAILABLE");
        }
    }

    /** Guards against unbounded bodies. */
    @Test
    void refusesOversizedBody() throws Exception {
        try (RawClient client =
                daemon.connect()
                        .send(
                                "PUT",
                                "/v1/services/app/x",
                                "x".repeat(65 * 1024),
                                "Authorization: Bearer known")) {
            assertThat(client.answer()).startsWith("HTTP/1.1 413").contains("not_run");
        }
    }

    /**
     * Guards against an order that is cancelled, or a query that is not, on a closed connection.
     */
    @Test
    void cancelsOnlyIdempotentCallsOnClose() throws Exception {
        call("Idempotent: false").close();
        FakeRouter.Running order = daemon.router.next();
        call().close();
        FakeRouter.Running query = daemon.router.next();
        await().atMost(Duration.ofSeconds(20)).until(query::isCancelled);
        assertThat(order.isCancelled()).isFalse();
    }

    /** Guards against answers without a body that confuse the connection's next request. */
    @ParameterizedTest
    @CsvSource({"HEAD, 200, 10", "GET, 304, 10", "DELETE, 204, "})
    void passesAnswersWithoutBody(String method, int status, String length) throws Exception {
        try (RawClient client = daemon.connect()) {
            for (int repeat = 0; repeat < 2; repeat++) {
                client.send(method, "/v1/services/app/x", "", "Authorization: Bearer known");
                FakeRouter.Running running = daemon.router.next();
                running.answer.onHead(
                        ID,
                        status,
                        length == null ? Map.of() : Map.of("Content-Length", List.of(length)));
                running.answer.onOutcome(ID, new Outcome.Answered());
                String head = client.head();
                assertThat(head).startsWith("HTTP/1.1 " + status);
                if (length != null) {
                    assertThat(head).contains("Content-Length: " + length);
                }
            }
        }
    }
}
