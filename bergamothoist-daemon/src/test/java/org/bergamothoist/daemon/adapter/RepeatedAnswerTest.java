package org.bergamothoist.daemon.adapter;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;
import java.util.stream.Stream;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.platform.TargetKind;
import org.bergamothoist.daemon.adapter.SocketServer.Connection;
import org.bergamothoist.daemon.adapter.SocketServer.Script;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Outside systems that write an answer, or the start of one, a second time. */
class RepeatedAnswerTest {

    private static final Duration LIMIT = Duration.ofSeconds(10);

    private final OutboundHttp http =
            new OutboundHttp(Duration.ofMillis(500), Duration.ofSeconds(2));

    @AfterEach
    void close() {
        http.close();
    }

    /** A call whose answers differ only in their status or body, and two such answers. */
    private enum Call {
        REPORT(
                (http, server) ->
                        new HttpEngineClient(http).report(server.target(TargetKind.MODEL_ENGINE)),
                answer(200, report("i1", 0, false)),
                answer(200, report("i2", 900, true))),
        REPORT_OF_FAILING_ENGINE(
                (http, server) ->
                        new HttpEngineClient(http).report(server.target(TargetKind.MODEL_ENGINE)),
                answer(200, report("i1", 0, false)),
                answer(500, "{}")),
        CACHE_EVENTS(
                (http, server) ->
                        new HttpEngineClient(http)
                                .cacheEvents(server.target(TargetKind.MODEL_ENGINE), 4),
                answer(200, "{\"incarnation\":\"i1\",\"events\":[]}"),
                answer(
                        200,
                        "{\"incarnation\":\"i1\",\"events\":[{\"sequence\":5,"
                                + "\"kind\":\"removed\",\"block_hash\":\"00000000000000ab\"}]}")),
        CACHE_SNAPSHOT(
                (http, server) ->
                        new HttpEngineClient(http)
                                .cacheSnapshot(server.target(TargetKind.MODEL_ENGINE)),
                answer(200, "{\"incarnation\":\"i1\",\"sequence\":1,\"block_hashes\":[]}"),
                answer(200, "{\"incarnation\":\"i2\",\"sequence\":0,\"block_hashes\":[]}")),
        LOG_PAGE(
                (http, server) ->
                        new HttpLogService(
                                        http,
                                        server.base(),
                                        record -> new byte[0],
                                        bytes -> new LogRecord.Unknown(new String(bytes)))
                                .read(8, 10),
                answer(200, "{\"first_retained_offset\":2,\"end_offset\":8,\"records\":[]}"),
                answer(
                        200,
                        "{\"first_retained_offset\":2,\"end_offset\":9,\"records\":[{\"offset\":8,"
                                + "\"append_time\":\"1970-01-01T00:00:00Z\","
                                + "\"payload\":\"cg==\"}]}")),
        VIRTUAL_MACHINES(
                (http, server) -> new HttpVirtualMachineList(http, server.base()).read(),
                answer(200, machine("live")),
                answer(200, machine("leaving"))),
        WEIGHTS(
                (http, server) ->
                        new HttpWeightStore(http, server.base())
                                .contains(new ModelKey("m", "base", "1")),
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
                "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");

        private final BiFunction<OutboundHttp, SocketServer, CompletionStage<?>> call;
        private final String first;
        private final String second;

        Call(
                BiFunction<OutboundHttp, SocketServer, CompletionStage<?>> call,
                String first,
                String second) {
            this.call = call;
            this.first = first;
            this.second = second;
        }

        /** Returns the call's result as text, or the message of its failure. */
        String run(OutboundHttp http, SocketServer server) throws Exception {
            return call.apply(http, server)
                    .handle((result, failure) -> String.valueOf(failure == null ? result : failure))
                    .toCompletableFuture()
                    .get(LIMIT.toSeconds(), TimeUnit.SECONDS);
        }

        private static String answer(int status, String body) {
            return "HTTP/1.1 "
                    + status
                    + " X\r\nContent-Length: "
                    + body.length()
                    + "\r\n\r\n"
                    + body;
        }

        private static String report(String incarnation, int queuedTokens, boolean leaving) {
            return """
            {"incarnation":"%s","models":[],"queued_tokens":%d,"running_streams":0,\
            "measured_at":"1970-01-01T00:00:00Z","last_event_sequence":0,\
            "leaving":%s,"fencing":true}\
            """
                    .formatted(incarnation, queuedTokens, leaving);
        }

        private static String machine(String state) {
            return """
            {"vms":[{"name":"v","role":"model_engine","group":"g","host":"10.0.0.1",\
            "port":7,"data_centre":"a","state":"%s"}]}\
            """
                    .formatted(state);
        }
    }

    /** How much of the first answer is written again. */
    private enum Repetition {
        WHOLE,
        START_OF_STATUS_LINE,
        START_OF_HEADER;

        String of(String answer) {
            return switch (this) {
                case WHOLE -> answer;
                case START_OF_STATUS_LINE -> answer.substring(0, "HTTP/1.1 200 ".length());
                case START_OF_HEADER ->
                        answer.substring(0, answer.indexOf("Content-Length") + "Content".length());
            };
        }
    }

    /** When the repetition is written. */
    private enum Moment {
        WITH_ANSWER,
        WHILE_IDLE,
        BEFORE_NEXT_ANSWER
    }

    private static Stream<Arguments> repeatedAnswers() {
        return Arrays.stream(Call.values())
                .flatMap(
                        call ->
                                Arrays.stream(Repetition.values())
                                        .flatMap(
                                                repetition ->
                                                        Arrays.stream(Moment.values())
                                                                .map(
                                                                        moment ->
                                                                                Arguments.of(
                                                                                        call,
                                                                                        repetition,
                                                                                        moment))));
    }

    /**
     * Guards against a repeated answer, or the start of one, that is taken for the answer to the
     * next call: a report or page from before, or weights that the store has never had.
     */
    @ParameterizedTest(name = "{0}, {1}, {2}")
    @MethodSource("repeatedAnswers")
    void repeatedAnswerIsNotTakenForTheNextOne(Call call, Repetition repetition, Moment moment)
            throws Exception {
        String expected;
        try (SocketServer server =
                new SocketServer((connection, request) -> connection.write(call.second))) {
            expected = call.run(http, server);
        }
        CountDownLatch firstWritten = new CountDownLatch(1);
        AtomicReference<Connection> faulty = new AtomicReference<>();
        Script script =
                (connection, request) -> {
                    String repeated = repetition.of(call.first);
                    if (faulty.compareAndSet(null, connection)) {
                        writeFirst(connection, call.first, repeated, moment);
                        firstWritten.countDown();
                        return;
                    }
                    boolean stray =
                            moment == Moment.BEFORE_NEXT_ANSWER && connection.equals(faulty.get());
                    connection.write(stray ? repeated + call.second : call.second);
                };
        try (SocketServer server = new SocketServer(script)) {
            String first = call.run(http, server);
            assertThat(firstWritten.await(LIMIT.toSeconds(), TimeUnit.SECONDS)).as(first).isTrue();
            // Lets the client release the connection and see the bytes before the next call.
            Thread.sleep(20);
            assertThat(call.run(http, server)).isEqualTo(expected);
        }
    }

    private static void writeFirst(
            Connection connection, String answer, String repeated, Moment moment)
            throws InterruptedException, IOException {
        connection.write(moment == Moment.WITH_ANSWER ? answer + repeated : answer);
        if (moment != Moment.WHILE_IDLE) {
            return;
        }
        Thread.sleep(10);
        try {
            connection.write(repeated);
        } catch (IOException exception) {
            // The client has closed the connection.
        }
    }
}
