package org.bergamothoist.standin.client;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.standin.GeneratedText;
import org.bergamothoist.standin.StandInEventStream;
import org.bergamothoist.standin.StandInHttpServer;
import org.bergamothoist.standin.StandInRequest;
import org.bergamothoist.standin.StandInResponse;
import org.bergamothoist.standin.internal.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CompletionCallerTest {

    private static final ModelKey MODEL = new ModelKey("m", "base", "1");
    private static final CompletionRequest REQUEST = CompletionRequest.of(MODEL, "prompt", 4);

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Deque<StandInHttpServer.Handler> script = new ArrayDeque<>();
    private final List<StandInRequest> requests = Collections.synchronizedList(new ArrayList<>());
    private final List<Integer> servers = Collections.synchronizedList(new ArrayList<>());
    private final StandInHttpServer first = StandInHttpServer.start(group, handler(1));
    private final StandInHttpServer second = StandInHttpServer.start(group, handler(2));
    private final CallerTransport transport = new CallerTransport(InstantSource.system(), 1);

    private StandInHttpServer.Handler handler(int server) {
        return (request, response) -> {
            if (request.path().equals("/v1/addresses")) {
                response.json(200, addresses());
                return;
            }
            requests.add(request);
            servers.add(server);
            script.remove().handle(request, response);
        };
    }

    private RouterMessages.Addresses addresses() {
        List<RouterMessages.Address> addresses =
                List.of(first, second).stream()
                        .map(server -> "127.0.0.1:" + server.port())
                        .map(address -> new RouterMessages.Address(address, "biel-a"))
                        .toList();
        return new RouterMessages.Addresses(addresses, 60_000);
    }

    @AfterEach
    void close() {
        transport.close();
        first.close();
        second.close();
        group.shutdownGracefully();
    }

    /** Guards against a resume that repeats, skips or loses text, or runs the request again. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 3, 4})
    void resumesElsewhereAfterALostConnection(int pieces) {
        script.add((request, response) -> stream(request, response, 0, pieces).reset());
        script.add((request, response) -> answer(request, response, pieces));
        CompletionResult result = complete(REQUEST);
        assertThat(result.violations()).isEmpty();
        assertThat(result.outcome()).isEqualTo(OutcomeKind.ANSWERED);
        assertThat(result.text()).isEqualTo(REQUEST.expectedText());
        assertThat(result.resumes()).isEqualTo(1);
        assertThat(servers).containsExactly(1, 2);
        assertThat(requests.get(1).path()).isEqualTo("/v1/completions/resume");
        JsonNode body = Json.read(requests.get(1).body(), JsonNode.class);
        assertThat(body.get("resume_token").asText()).isEqualTo(TestRouter.TOKEN);
        assertThat(body.get("next_piece").asInt()).isEqualTo(pieces);
        assertThat(body.get("prompt").asText()).isEqualTo("prompt");
        assertThat(body.get("delivered_text").asText()).isEqualTo(text(0, pieces));
        assertThat(requestIds()).hasSize(2).containsOnly(requestIds().get(0));
    }

    /** Guards against a caller that gives up on, or wrongly repeats, a lost non-idempotent one. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void repeatsWhatBrokeBeforeItBegan(boolean idempotent) {
        script.add((request, response) -> response.reset());
        script.add((request, response) -> answer(request, response, 0));
        CompletionResult result = complete(idempotent ? REQUEST : REQUEST.nonIdempotent());
        assertThat(result.outcome()).isEqualTo(OutcomeKind.ANSWERED);
        boolean same = requestIds().get(0).equals(requestIds().get(1));
        assertThat(same).isEqualTo(!idempotent);
    }

    /** Guards against retries that the router did not invite, and against reused identifiers. */
    @Test
    void retriesWhatDidNotRun() {
        script.add((request, response) -> refuse(request, response, "not_run", 10));
        script.add((request, response) -> refuse(request, response, "not_run", 0));
        CompletionResult result = complete(REQUEST);
        assertThat(result.outcome()).isEqualTo(OutcomeKind.NOT_RUN);
        assertThat(result.code()).isEqualTo("LIMIT_EXCEEDED");
        assertThat(result.sendings()).extracting(Sending::requestId).doesNotHaveDuplicates();
        requestIds().forEach(RequestId::parse);
        assertThat(requests.get(0).header("Authorization")).hasValue("Bearer b3Jn-caller-key");
        assertThat(requests.get(0).header("Request-Priority")).hasValue("5");
    }

    /** Guards against a repeat after an outcome that rules it out. */
    @Test
    void endsWithAnUnknownOutcome() {
        script.add((request, response) -> refuse(request, response, "unknown", 10));
        assertThat(complete(REQUEST).outcome()).isEqualTo(OutcomeKind.UNKNOWN);
        assertThat(requests).hasSize(1);
    }

    /** Guards against failures without an outcome that pass as an ordinary refusal. */
    @Test
    void reportsFailuresWithoutAnOutcome() {
        script.add((request, response) -> response.message(500, "broken"));
        CompletionResult result = complete(REQUEST);
        assertThat(result.violations())
                .extracting(Violation::kind)
                .containsExactly(Violation.Kind.MALFORMED_EVENT);
    }

    private List<String> requestIds() {
        return requests.stream()
                .map(request -> request.header("Request-Id").orElseThrow())
                .toList();
    }

    private CompletionResult complete(CompletionRequest request) {
        CallerSettings settings =
                new CallerSettings(
                        "org", List.of("127.0.0.1:" + first.port()), "", Duration.ofMinutes(1));
        return new CompletionCaller(transport, settings).complete(request).join();
    }

    private static String text(int from, int to) {
        return GeneratedText.of("prompt").slice(4 * from, 4 * to);
    }

    private static StandInEventStream stream(
            StandInRequest request, StandInResponse response, int from, int to) {
        StandInEventStream stream = response.events();
        String requestId = request.header("Request-Id").orElseThrow();
        stream.send(
                "start",
                new RouterMessages.Start(requestId, "m", "base", "1", TestRouter.TOKEN, from));
        for (int index = from; index < to; index++) {
            String text = text(index, index + 1);
            stream.send("piece", index, new RouterMessages.Piece(index, text, 1));
        }
        return stream;
    }

    private static void answer(StandInRequest request, StandInResponse response, int from) {
        StandInEventStream stream = stream(request, response, from, 4);
        stream.send("outcome", outcome(request, "answered", 0));
        stream.end();
    }

    private static void refuse(
            StandInRequest request, StandInResponse response, String kind, long retryAfter) {
        response.json(503, outcome(request, kind, retryAfter));
    }

    private static RouterMessages.Outcome outcome(
            StandInRequest request, String kind, long retryAfter) {
        String requestId = request.header("Request-Id").orElseThrow();
        String code = kind.equals("answered") ? "" : "LIMIT_EXCEEDED";
        return new RouterMessages.Outcome(requestId, kind, code, "", retryAfter);
    }
}
