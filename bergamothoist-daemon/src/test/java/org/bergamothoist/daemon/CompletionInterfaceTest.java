package org.bergamothoist.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.request.Outcome;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CompletionInterfaceTest {

    private static final RequestId ID = RequestId.create(Instant.EPOCH, new Random(1));
    private static final ModelKey KEY = new ModelKey("diagnosis", "base", "v3");
    private static final String BODY =
            "{\"model\":\"diagnosis\",\"prompt\":\"worn pivot\",\"maximum_tokens\":5}";
    private static final String SHORT_IDLE = "{\"caller_idle\": \"1s\"}";

    /** Time without demand after which it counts as stopped. */
    private static final Duration QUIET = Duration.ofMillis(500);

    private static final int STREAMS_ABOVE_THREADS = 150;

    private static TestDaemon daemon;

    @BeforeAll
    static void start() {
        daemon = new TestDaemon();
    }

    @AfterAll
    static void stop() {
        daemon.close();
    }

    /** Guards against events that a client cannot tell apart or that lack id, text or outcome. */
    @Test
    void framesEvents() throws Exception {
        try (RawClient client = daemon.connect().complete(BODY, "Request-Id: " + ID)) {
            FakeRouter.Running running = daemon.router.next();
            assertThat(running.submission.requestId()).contains(ID);
            assertThat(running.submission.idempotent()).isTrue();
            running.listener.onStart(ID, KEY, "token", 0);
            running.listener.onPiece(0, "line\n\"two\" é", 3);
            running.listener.onOutcome(ID, new Outcome.Answered());

            assertThat(client.head()).startsWith("HTTP/1.1 200").contains("text/event-stream");
            assertThat(client.chunks())
                    .isEqualTo(
                            """
                            event: start
                            data: {"request_id":"%1$s","model":"diagnosis","adapter":"base",\
                            "version":"v3","resume_token":"token","next_piece":0}

                            event: piece
                            id: 0
                            data: {"index":0,"text":"line\\n\\"two\\" é","tokens":3}

                            event: outcome
                            data: {"outcome":"answered","request_id":"%1$s"}

                            """
                                    .formatted(ID));
        }
    }

    /** Guards against a refusal that hides the outcome, or a connection lost after it. */
    @Test
    void answersRefusalsBeforeTheFirstEventWithStatus() throws Exception {
        try (RawClient client = daemon.connect().complete(BODY)) {
            Duration retry = Duration.ofMillis(1500);
            daemon.router
                    .next()
                    .listener
                    .onOutcome(
                            ID, new Outcome.NotRun(ErrorCode.LIMIT_EXCEEDED, "queue full", retry));
            assertThat(client.answer())
                    .startsWith("HTTP/1.1 429")
                    .contains("Retry-After: 2", "Request-Outcome: not_run")
                    .contains("\"code\":\"LIMIT_EXCEEDED\"", "\"retry_after_ms\":1500");

            client.complete(BODY);
            daemon.router
                    .next()
                    .listener
                    .onOutcome(ID, new Outcome.Unknown(ErrorCode.TARGET_FAILED, "engine died"));
            assertThat(client.answer())
                    .startsWith("HTTP/1.1 502")
                    .contains("\"outcome\":\"unknown\"");
        }
    }

    /** Guards against a malformed request that reaches the router or is not refused as not run. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    {"model":"m","prompt":"p"} | maximum_tokens
                    {"model":"m","prompt":"p","maximum_tokens":1,"idempotant":false} | idempotant
                    {"model":"m","prompt":"p","maximum_tokens":1} x | JSON
                    {"model":"m","maximum_tokens":1} | prompt
                    """)
    void refusesMalformedBodies(String body, String reason) throws Exception {
        try (RawClient client = daemon.connect().complete(body)) {
            assertThat(client.answer())
                    .startsWith("HTTP/1.1 400")
                    .contains("not_run", "INVALID_REQUEST", reason);
        }
        assertThat(daemon.router.requests).isEmpty();
    }

    /** Guards against bad headers that are silently replaced by defaults. */
    @ParameterizedTest
    @CsvSource({
        "Request-Id: 7, 400, INVALID_REQUEST",
        "Request-Priority: 10, 400, INVALID_REQUEST",
        "Idempotent: maybe, 400, INVALID_REQUEST"
    })
    void refusesBadHeaders(String header, int status, String code) throws Exception {
        try (RawClient client = daemon.connect().complete(BODY, header)) {
            assertThat(client.answer()).startsWith("HTTP/1.1 " + status).contains(code);
        }
    }

    /** Guards against requests without a key. */
    @Test
    void refusesMissingKey() throws Exception {
        try (RawClient client = daemon.connect().send("POST", "/v1/completions", BODY)) {
            assertThat(client.answer()).startsWith("HTTP/1.1 401").contains("UNAUTHENTICATED");
        }
    }

    /** Guards against unbounded memory: bodies and prompts above their bound are refused. */
    @ParameterizedTest
    @CsvSource({"70000", "200000"})
    void refusesOversizedBodies(int size) throws Exception {
        String body = BODY.replace("worn pivot", "x".repeat(size));
        try (RawClient client = daemon.connect().complete(body)) {
            assertThat(client.answer()).startsWith("HTTP/1.1 413").contains("not_run", "TOO_LARGE");
        }
        assertThat(daemon.router.requests).isEmpty();
    }

    /** Guards against a refused resumption that claims its request has not run. */
    @Test
    void doesNotCallRefusedResumptionNotRun() throws Exception {
        String body = BODY.replace("}", ",\"resume_token\":\"t\"}");
        try (RawClient client =
                daemon.connect()
                        .send(
                                "POST",
                                "/v1/completions/resume",
                                body,
                                "Authorization: Bearer known")) {
            assertThat(client.answer())
                    .startsWith("HTTP/1.1 400")
                    .contains("\"outcome\":\"unknown\"", "next_piece");
        }
    }

    /** Guards against resumption fields that get lost. */
    @Test
    void passesResumptionOn() throws Exception {
        String body =
                BODY.replace(
                        "}", ",\"resume_token\":\"t\",\"next_piece\":4,\"delivered_text\":\"ab\"}");
        try (RawClient client =
                daemon.connect()
                        .send(
                                "POST",
                                "/v1/completions/resume",
                                body,
                                "Authorization: Bearer known")) {
            FakeRouter.Running running = daemon.router.next();
            assertThat(running.resumption.token()).isEqualTo("t");
            assertThat(running.resumption.nextPiece()).isEqualTo(4);
            assertThat(running.resumption.deliveredText()).contains("ab");
            running.listener.onOutcome(ID, new Outcome.Unknown(ErrorCode.STREAM_LOST, "gone"));
            assertThat(client.answer()).startsWith("HTTP/1.1 410");
        }
    }

    /** Guards against unbounded buffering: a caller that does not read stops the demand. */
    @Test
    void slowCallerStopsDemand() throws Exception {
        try (RawClient client = daemon.connect().complete(BODY)) {
            FakeRouter.Running running = daemon.router.next();
            running.listener.onStart(ID, KEY, "token", 0);
            String text = "x".repeat(8000);
            int limit = 20_000;
            int delivered = 0;
            while (delivered < limit && running.takeWithin(QUIET)) {
                running.listener.onPiece(delivered, text, 1);
                delivered++;
            }
            // The socket buffers take some megabytes, then the demand must stop.
            assertThat(delivered).isGreaterThan(3).isLessThan(limit);

            assertThat(client.head()).startsWith("HTTP/1.1 200");
            Thread reader = new Thread(() -> skipBody(client));
            reader.start();
            running.await();
            running.listener.onPiece(delivered, "last", 1);
            running.listener.onOutcome(ID, new Outcome.Answered());
            reader.join(20_000);
            assertThat(reader.isAlive()).isFalse();
        }
    }

    private static void skipBody(RawClient client) {
        try {
            client.chunks();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Guards against streams held for ever by a caller that has stopped reading. */
    @Test
    void cancelsStreamOfStuckCaller() throws Exception {
        try (TestDaemon impatient = new TestDaemon(SHORT_IDLE);
                RawClient client = impatient.connect().complete(BODY)) {
            FakeRouter.Running running = impatient.router.next();
            running.listener.onStart(ID, KEY, "token", 0);
            String text = "x".repeat(8000);
            for (int index = 0; !running.isCancelled() && running.takeWithin(QUIET); index++) {
                running.listener.onPiece(index, text, 1);
            }
            await().atMost(Duration.ofSeconds(20)).until(running::isCancelled);
            assertThat(client.socket.isClosed()).isFalse();
        }
    }

    /** Guards against headers that exhaust the memory. */
    @Test
    void refusesOversizedHeaders() throws Exception {
        try (RawClient client = daemon.connect().complete(BODY, "X-Long: " + "x".repeat(17_000))) {
            assertThat(client.head()).startsWith("HTTP/1.1 431");
        }
        assertThat(daemon.router.requests).isEmpty();
    }

    /** Guards against work for callers that are gone, before and after the first event. */
    @ParameterizedTest
    @CsvSource({"false", "true"})
    void cancelsIdempotentRequestWhenCallerCloses(boolean started) throws Exception {
        FakeRouter.Running running;
        try (RawClient client = daemon.connect().complete(BODY)) {
            running = daemon.router.next();
            if (started) {
                running.listener.onStart(ID, KEY, "token", 0);
                client.head();
            }
        }
        await().atMost(Duration.ofSeconds(20)).until(running::isCancelled);
    }

    /** Guards against a booking that is cut off half-way because its caller hung up. */
    @ParameterizedTest
    @CsvSource({"header", "body"})
    void runsNonIdempotentRequestToItsEnd(String mark) throws Exception {
        String body = "body".equals(mark) ? BODY.replace("}", ",\"idempotent\":false}") : BODY;
        String header = "Idempotent: " + !"header".equals(mark);
        FakeRouter.Running running;
        try (RawClient client = daemon.connect().complete(body, header)) {
            running = daemon.router.next();
            assertThat(running.submission.idempotent()).isFalse();
            running.listener.onStart(ID, KEY, "token", 0);
            client.head();
        }
        String text = "x".repeat(8000);
        for (int index = 0; index < 500; index++) {
            running.await();
            running.listener.onPiece(index, text, 1);
        }
        assertThat(running.isCancelled()).isFalse();
        running.listener.onOutcome(ID, new Outcome.Answered());
    }

    /**
     * Guards against a thread for each stream, and against idle limits that cut waiting callers.
     */
    @Test
    void manyWaitingStreamsNeedNoThreads() throws Exception {
        try (TestDaemon impatient = new TestDaemon(SHORT_IDLE)) {
            List<RawClient> clients = new ArrayList<>();
            List<FakeRouter.Running> running = new ArrayList<>();
            for (int index = 0; index < STREAMS_ABOVE_THREADS; index++) {
                clients.add(impatient.connect().complete(BODY));
                running.add(impatient.router.next());
            }
            // Longer than the connection's idle limit of this daemon.
            Thread.sleep(2500);
            for (FakeRouter.Running stream : running) {
                assertThat(stream.isCancelled()).isFalse();
                stream.listener.onStart(ID, KEY, "token", 0);
                stream.listener.onOutcome(ID, new Outcome.Answered());
            }
            for (RawClient client : clients) {
                assertThat(client.head()).startsWith("HTTP/1.1 200");
                assertThat(client.chunks()).contains("answered");
                client.close();
            }
        }
    }

    /** Guards against a pipelined request that the watch for closed connections swallows. */
    @Test
    void servesPipelinedRequest() throws Exception {
        try (RawClient client = daemon.connect().complete(BODY)) {
            FakeRouter.Running first = daemon.router.next();
            client.complete(BODY);
            first.listener.onOutcome(ID, Outcome.notRun(ErrorCode.NO_TARGET, "first"));
            assertThat(client.answer()).contains("first");
            daemon.router
                    .next()
                    .listener
                    .onOutcome(ID, Outcome.notRun(ErrorCode.NO_TARGET, "second"));
            assertThat(client.answer()).contains("second");
        }
    }
}
