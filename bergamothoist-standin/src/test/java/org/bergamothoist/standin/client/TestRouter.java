package org.bergamothoist.standin.client;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.prompt.BlockHashChain;
import org.bergamothoist.core.prompt.BlockHasher;
import org.bergamothoist.core.prompt.Prompt;
import org.bergamothoist.standin.PlatformStandIn;
import org.bergamothoist.standin.StandInEventStream;
import org.bergamothoist.standin.StandInHttpServer;
import org.bergamothoist.standin.StandInRequest;
import org.bergamothoist.standin.StandInResponse;
import org.bergamothoist.standin.TestClient;
import org.bergamothoist.standin.internal.Json;

/** A router with one engine for each organisation that breaks a chosen promise. */
final class TestRouter implements AutoCloseable {

    static final String TOKEN = "token";

    private static final int BLOCK_TOKENS = 64;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final List<TestClient> engines;
    private final TestClient service;
    private final Fault fault;
    private final StandInHttpServer server;

    enum Fault {
        NONE,
        DROP_PIECE,
        REPEAT_PIECE,
        SWAP_PIECES,
        CROSS_ANSWERS,
        OTHER_MODEL,
        ANSWER_IN_PART,
        END_WITHOUT_OUTCOME,
        WRONG_EVENT_ID,
        EXECUTE_TWICE,
        DENY_EXECUTION,
        NEVER_END
    }

    TestRouter(PlatformStandIn platform, Fault fault) {
        this.engines =
                platform.engines().stream().map(engine -> new TestClient(engine.port())).toList();
        this.service = new TestClient(platform.services().get(0).port());
        this.fault = fault;
        this.server = StandInHttpServer.start(group, this::handle);
    }

    String address() {
        return "127.0.0.1:" + server.port();
    }

    @Override
    public void close() {
        server.close();
        group.shutdownGracefully();
    }

    private void handle(StandInRequest request, StandInResponse response) {
        if (request.path().equals("/v1/addresses")) {
            RouterMessages.Address address = new RouterMessages.Address(address(), "muscat-a");
            response.json(200, new RouterMessages.Addresses(List.of(address), 5_000));
        } else if (request.path().startsWith("/v1/services/")) {
            CompletableFuture.runAsync(() -> callService(request, response));
        } else {
            complete(request, response);
        }
    }

    private void callService(StandInRequest request, StandInResponse response) {
        String requestId = request.header("Request-Id").orElseThrow();
        byte[] echo = new byte[0];
        for (int run = 0; run < (fault == Fault.EXECUTE_TWICE ? 2 : 1); run++) {
            Map<String, String> headers = Map.of("Request-Id", requestId);
            echo = service.call("POST", "/bookings", request.body(), headers).body();
        }
        if (fault == Fault.DENY_EXECUTION) {
            response.json(503, outcome(requestId, "not_run", "NO_TARGET"));
            return;
        }
        response.send(200, Map.of(), fault == Fault.CROSS_ANSWERS ? new byte[1] : echo);
    }

    private void complete(StandInRequest request, StandInResponse response) {
        String requestId = request.header("Request-Id").orElseThrow();
        RouterMessages.Completion completion =
                Json.read(request.body(), RouterMessages.Completion.class);
        String organisation = organisation(request);
        TestClient client = engines.get(Math.floorMod(organisation.hashCode(), engines.size()));
        Map<String, Object> call = call(requestId, organisation, completion);
        CompletableFuture<TestClient.Events> answer =
                fault == Fault.EXECUTE_TWICE
                        ? client.completeWhole(call).thenCompose(e -> client.completeWhole(call))
                        : client.completeWhole(call);
        answer.thenAccept(events -> answer(requestId, completion, events, response));
    }

    private static String organisation(StandInRequest request) {
        String key = request.header("Authorization").orElseThrow().substring("Bearer ".length());
        return ExampleKeys.organisation(key);
    }

    private void answer(
            String requestId,
            RouterMessages.Completion completion,
            TestClient.Events events,
            StandInResponse response) {
        if (fault == Fault.DENY_EXECUTION) {
            response.json(503, outcome(requestId, "not_run", "NO_TARGET"));
            return;
        }
        StandInEventStream stream = response.events();
        String version = fault == Fault.OTHER_MODEL ? "0" : completion.version();
        stream.send(
                "start",
                new RouterMessages.Start(
                        requestId, completion.model(), completion.adapter(), version, TOKEN, 0));
        for (JsonNode piece : pieces(events)) {
            int index = piece.get("index").asInt();
            String text = piece.get("text").asText();
            text = fault == Fault.CROSS_ANSWERS ? text.toUpperCase(java.util.Locale.ROOT) : text;
            int id = fault == Fault.WRONG_EVENT_ID ? index + 1 : index;
            stream.send("piece", id, new RouterMessages.Piece(index, text, 1));
        }
        if (fault == Fault.NEVER_END) {
            return;
        }
        if (fault != Fault.END_WITHOUT_OUTCOME) {
            stream.send("outcome", outcome(requestId, "answered", ""));
        }
        stream.end();
    }

    private List<JsonNode> pieces(TestClient.Events events) {
        List<JsonNode> pieces = new ArrayList<>(events.named("piece"));
        switch (fault) {
            case DROP_PIECE -> pieces.remove(1);
            case REPEAT_PIECE -> pieces.add(2, pieces.get(1));
            case SWAP_PIECES -> Collections.swap(pieces, 1, 2);
            case ANSWER_IN_PART -> pieces.remove(pieces.size() - 1);
            default -> {}
        }
        return pieces;
    }

    private static RouterMessages.Outcome outcome(String requestId, String kind, String code) {
        return new RouterMessages.Outcome(requestId, kind, code, "", 0);
    }

    private static Map<String, Object> call(
            String requestId, String organisation, RouterMessages.Completion completion) {
        ModelKey key = new ModelKey(completion.model(), completion.adapter(), completion.version());
        BlockHashChain chain =
                new BlockHasher(BLOCK_TOKENS)
                        .hashChain(
                                new OrganisationId(organisation),
                                key,
                                new Prompt(completion.prompt()));
        List<String> hashes = new ArrayList<>();
        for (int index = 0; index < chain.length(); index++) {
            hashes.add(String.format("%016x", chain.hash(index)));
        }
        Map<String, Object> call = new HashMap<>();
        call.put("request_id", requestId);
        call.put("organisation", organisation);
        call.put("model", key.model());
        call.put("adapter", key.adapter());
        call.put("version", key.version());
        call.put("prompt", completion.prompt());
        call.put("block_hashes", hashes);
        call.put("max_tokens", completion.maximumTokens());
        call.put("cache_salt", organisation);
        return call;
    }
}
