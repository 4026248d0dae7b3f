package org.bergamothoist.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.prompt.BlockHashChain;
import org.bergamothoist.core.prompt.BlockHasher;
import org.bergamothoist.core.prompt.Prompt;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class EngineStandInTest {

    private static final ModelKey MODEL = Deployment.BRUNNER.model();
    private static final int BLOCK_TOKENS = 4;
    private static final String FOUR_BLOCKS = "a".repeat(32) + "b".repeat(32);

    private final ManualClock clock = new ManualClock();
    private final EngineSettings settings =
            EngineSettings.defaults(List.of(MODEL))
                    .with(new EngineSettings.Cache(BLOCK_TOKENS, 8))
                    .with(
                            new EngineSettings.Costs(
                                    Duration.ofNanos(1000),
                                    Duration.ofMillis(1),
                                    Duration.ofNanos(1000)))
                    .with(new EngineSettings.Reporting(Duration.ZERO, Duration.ofSeconds(1), 0));
    private PlatformStandIn platform;
    private EngineStandIn engine;
    private TestClient client;

    EngineStandInTest() {
        start(settings);
    }

    private void start(EngineSettings engineSettings) {
        if (platform != null) {
            platform.close();
        }
        PlatformSettings all =
                PlatformSettings.defaults(MODEL)
                        .with(engineSettings)
                        .withTimes(Duration.ZERO, Duration.ofMillis(50));
        platform = PlatformStandIn.start(Deployment.BRUNNER, all, clock);
        engine = platform.engines().get(0);
        client = new TestClient(engine.port());
    }

    @AfterEach
    void close() {
        platform.close();
    }

    /** Guards against an answer that is not the published form or not the expected text. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 7})
    void generatesTheExpectedText(int tokensPerPiece) {
        start(settings.with(new EngineSettings.Bounds(tokensPerPiece, 4, 4)));
        TestClient.Events events = client.complete(completion("r", FOUR_BLOCKS, 10)).join();
        assertThat(events.names()).startsWith("start", "piece").endsWith("done");
        assertThat(events.text()).isEqualTo(GeneratedText.expected(FOUR_BLOCKS, 10));
        assertThat(events.start().get("prompt_tokens").asInt()).isEqualTo(16);
        assertThat(events.start().get("incarnation").asText()).isEqualTo(engine.incarnation());
        List<JsonNode> pieces = events.named("piece");
        for (int index = 0; index < pieces.size(); index++) {
            assertThat(pieces.get(index).get("index").asInt()).isEqualTo(index);
        }
        assertThat(pieces.stream().mapToInt(piece -> piece.get("tokens").asInt()).sum())
                .isEqualTo(10);
        assertThat(engine.executions("r")).isEqualTo(1);
    }

    /** Guards against a continuation that repeats, skips or changes text. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 4, 9, 39})
    void continuesAfterDeliveredText(int deliveredCharacters) {
        String whole = GeneratedText.expected(FOUR_BLOCKS, 10);
        Map<String, Object> completion = completion("r", FOUR_BLOCKS, 10);
        completion.put("continuation", whole.substring(0, deliveredCharacters));
        String rest = client.complete(completion).join().text();
        assertThat(whole.substring(0, deliveredCharacters) + rest).startsWith(whole);
        assertThat(engine.counters().foreignContinuations()).isZero();
        completion.put("continuation", "not what the engine generates");
        client.complete(completion).join();
        assertThat(engine.counters().foreignContinuations()).isEqualTo(1);
    }

    /** Guards against a text that does not tell prompts apart. */
    @Test
    void generatesOtherTextForOtherPrompts() {
        assertThat(GeneratedText.expected("a", 5)).isNotEqualTo(GeneratedText.expected("b", 5));
    }

    /** Guards against a cache that never matches, or matches over organisations or salts. */
    @Test
    void matchesCachedBlocksUnderTheSameSaltOnly() {
        assertThat(cachedTokens(completion("r1", FOUR_BLOCKS, 1))).isZero();
        assertThat(cachedTokens(completion("r2", FOUR_BLOCKS, 1))).isEqualTo(16);
        assertThat(cachedTokens(completion("r3", "a".repeat(32) + "c".repeat(32), 1))).isEqualTo(8);
        Map<String, Object> otherSalt = completion("r4", FOUR_BLOCKS, 1);
        otherSalt.put("cache_salt", "other");
        assertThat(cachedTokens(otherSalt)).isZero();
        assertThat(engine.counters().cachedTokens()).isEqualTo(24);
        assertThat(engine.counters().prefilledTokens()).isEqualTo(16 + 8 + 16);
    }

    /** Guards against false hits when a client labels two prefixes alike. */
    @Test
    void ignoresLabelsThatDoNotFitTheContent() {
        client.complete(completion("r1", FOUR_BLOCKS, 1)).join();
        Map<String, Object> mislabelled = completion("r2", "z".repeat(64), 1);
        mislabelled.put("block_hashes", labels("org-a", FOUR_BLOCKS));
        assertThat(cachedTokens(mislabelled)).isZero();
    }

    /** Guards against unlimited cache memory, and against events that come early or not at all. */
    @Test
    void reportsStoredAndRemovedBlocksLate() {
        client.complete(completion("r1", FOUR_BLOCKS, 1)).join();
        client.complete(completion("r2", "c".repeat(96), 1)).join();
        assertThat(events(0)).isEmpty();
        clock.advance(Duration.ofSeconds(1));
        List<String> events = events(0);
        assertThat(events.stream().filter(event -> event.startsWith("stored"))).hasSize(10);
        // The deepest blocks of the older chain go first.
        List<String> labels = labels("org-a", FOUR_BLOCKS);
        assertThat(events)
                .endsWith("removed " + labels.get(3), "removed " + labels.get(2))
                .hasSize(12);
        assertThat(events(10)).hasSize(2);
        JsonNode snapshot = client.get("/v1/cache/snapshot").json();
        assertThat(snapshot.get("sequence").asInt()).isEqualTo(12);
        assertThat(snapshot.get("block_hashes")).hasSize(8);
    }

    /** Guards against loss that leaves no gap in the sequence. */
    @Test
    void losesCacheEvents() {
        start(settings.with(new EngineSettings.Reporting(Duration.ZERO, Duration.ZERO, 0.5)));
        client.complete(completion("r1", "d".repeat(128), 1)).join();
        assertThat(events(0)).hasSizeBetween(1, 7);
        assertThat(client.get("/v1/report").json().get("last_event_sequence").asInt()).isEqualTo(8);
    }

    /** Guards against a queue that ignores priority. */
    @Test
    void prefillsUrgentRequestsFirst() {
        List<String> order = Collections.synchronizedList(new ArrayList<>());
        engine.crashOnPrompt(prompt -> !order.add(prompt));
        engine.slow(1e7);
        CompletableFuture<?> first = client.complete(completion("first", "first", 1));
        await().until(() -> engine.executions("first") == 1);
        List<CompletableFuture<?>> all = new ArrayList<>();
        for (int priority : new int[] {9, 5, 0}) {
            String id = "priority " + priority;
            Map<String, Object> completion = completion(id, id, 1);
            completion.put("priority", priority);
            all.add(client.complete(completion));
            await().until(() -> engine.executions(id) == 1);
        }
        assertThat(report().get("queued_tokens").asInt()).isEqualTo(2 + 3 * 3);
        engine.slow(1);
        cancel(0);
        first.join();
        all.forEach(CompletableFuture::join);
        assertThat(order).containsExactly("first", "priority 0", "priority 5", "priority 9");
    }

    /** Guards against more work than the engine holds, and against "not run" for work that ran. */
    @Test
    void refusesWorkBeyondTheQueue() {
        start(settings.with(new EngineSettings.Bounds(1, 1, 1)));
        engine.slow(1e7);
        for (String id : List.of("prefilling", "waiting")) {
            client.complete(completion(id, FOUR_BLOCKS, 1));
            await().until(() -> engine.executions(id) == 1);
        }
        Map<String, Object> refused = completion("refused", FOUR_BLOCKS, 1);
        assertThat(client.call("POST", "/v1/completions", refused).status()).isEqualTo(503);
        assertThat(engine.executions("refused")).isZero();
    }

    /** Guards against an answer from weights that the request does not name. */
    @Test
    void refusesModelsThatAreNotLoaded() {
        Map<String, Object> completion = completion("r", FOUR_BLOCKS, 1);
        completion.put("version", "2");
        assertThat(client.call("POST", "/v1/completions", completion).status()).isEqualTo(409);
        assertThat(engine.executions("r")).isZero();
        assertThat(engine.receipts("r")).isEqualTo(1);
    }

    /** Guards against a lost connection that ends the stream, and against resume at a wrong one. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 9, 10})
    void resumesAfterALostConnection(int pieces) {
        engine.dropAnswerAfter(pieces);
        TestClient.Events lost = client.complete(completion("r", FOUR_BLOCKS, 10)).join();
        assertThat(lost.broken()).isTrue();
        assertThat(lost.named("piece")).hasSizeLessThanOrEqualTo(pieces);
        String streamId = engine.incarnation() + "-0";
        int from = lost.named("piece").size();
        TestClient.Events rest = client.resume(streamId, engine.incarnation(), from).join();
        assertThat(lost.text() + rest.text()).isEqualTo(GeneratedText.expected(FOUR_BLOCKS, 10));
        assertThat(engine.executions("r")).isEqualTo(1);
        assertThat(client.resume(streamId, "other", from).join().names()).isEmpty();
        clock.advance(EngineCore.STREAM_RETENTION.plusMillis(1));
        assertThat(client.resume(streamId, engine.incarnation(), from).join().names()).isEmpty();
    }

    /** Guards against cancelled streams that go on to use the engine. */
    @Test
    void cancelsStreams() {
        engine.slow(1_000);
        CompletableFuture<TestClient.Events> stream =
                client.complete(completion("r", FOUR_BLOCKS, 1_000));
        await().until(() -> report().get("running_streams").asInt() == 1);
        cancel(0);
        assertThat(stream.join().names()).endsWith("error");
        assertThat(report().get("running_streams").asInt()).isZero();
    }

    /** Guards against a crash that keeps the cache, the streams or the incarnation. */
    @ParameterizedTest
    @MethodSource("crashes")
    void losesEverythingInACrash(Consumer<EngineStandInTest> crash) {
        client.complete(completion("warm", FOUR_BLOCKS, 1)).join();
        String before = engine.incarnation();
        crash.accept(this);
        assertThatThrownBy(() -> client.get("/v1/report")).isInstanceOf(UncheckedIOException.class);
        engine.restart();
        assertThat(engine.incarnation()).isNotEqualTo(before);
        assertThat(engine.cachedBlocks()).isEmpty();
        assertThat(client.resume(before + "-0", before, 0).join().names()).isEmpty();
        assertThat(cachedTokens(completion("r", FOUR_BLOCKS, 1))).isZero();
    }

    static Stream<Arguments> crashes() {
        Consumer<EngineStandInTest> byCall =
                test -> {
                    test.engine.slow(1_000);
                    CompletableFuture<TestClient.Events> stream =
                            test.client.complete(completion("r", FOUR_BLOCKS, 1_000));
                    await().until(() -> test.report().get("running_streams").asInt() == 1);
                    test.engine.crash();
                    assertThat(stream.join().broken()).isTrue();
                    test.engine.slow(1);
                };
        Consumer<EngineStandInTest> byPrompt =
                test -> {
                    test.engine.crashOnPrompt(prompt -> prompt.contains("poison"));
                    test.client.complete(completion("p", "poison", 1)).handle((a, b) -> a).join();
                };
        return Stream.of(Arguments.of(byCall), Arguments.of(byPrompt));
    }

    /** Guards against a frozen engine that answers, or that loses work when it goes on. */
    @Test
    void goesOnAfterAFreeze() {
        engine.freeze();
        CompletableFuture<TestClient.Events> stream =
                client.complete(completion("r", FOUR_BLOCKS, 10));
        assertThat(engine.executions("r")).isZero();
        engine.unfreeze();
        assertThat(stream.join().text()).isEqualTo(GeneratedText.expected(FOUR_BLOCKS, 10));
    }

    /** Guards against orders whose fencing number or deadline is not checked as configured. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void checksOrders(boolean fencing) {
        start(settings.withFencing(fencing));
        assertThat(order(7, 10, MODEL)).isEqualTo(202);
        assertThat(order(7, 10, MODEL)).isEqualTo(202);
        assertThat(order(6, 10, MODEL)).isEqualTo(fencing ? 409 : 202);
        assertThat(order(8, -1, MODEL)).isEqualTo(409);
        assertThat(report().get("fencing").asBoolean()).isEqualTo(fencing);
        assertThat(engine.role()).isEqualTo("serving");
    }

    /** Guards against a weight load that keeps the incarnation, the cache or the old weights. */
    @Test
    void changesIncarnationWithAWeightLoad() {
        ModelKey next = new ModelKey(MODEL.model(), MODEL.adapter(), "2");
        platform.publishWeights(next);
        client.complete(completion("r1", FOUR_BLOCKS, 1)).join();
        String before = engine.incarnation();
        assertThat(order(1, 10, MODEL, next)).isEqualTo(202);
        assertThat(modelStates()).contains("2 loading");
        await().until(() -> modelStates().equals(List.of("1 ready", "2 ready")));
        assertThat(engine.incarnation()).isNotEqualTo(before);
        assertThat(engine.cachedBlocks()).isEmpty();
        order(1, 10, MODEL, next);
        assertThat(modelStates()).containsExactly("1 ready", "2 ready");
        order(1, 10, next);
        assertThat(modelStates()).containsExactly("2 ready");
    }

    /** Guards against transfers that do nothing or that cross organisations. */
    @Test
    void movesBlocksThroughTheCacheStore() {
        client.complete(completion("r1", FOUR_BLOCKS, 1)).join();
        EngineStandIn other = platform.engines().get(1);
        transfer(client, "export", "org-b");
        transfer(client, "export", "org-a");
        await().until(() -> platform.cacheStore().storedBlocks() == 4);
        client = new TestClient(other.port());
        transfer(client, "import", "org-a");
        await().until(() -> other.cachedBlocks().size() == 4);
        assertThat(cachedTokens(completion("r2", FOUR_BLOCKS, 1))).isEqualTo(16);
        assertThat(platform.counters().recomputedTokens()).isZero();
    }

    /** Guards against waste that goes uncounted when another engine holds the prefix. */
    @Test
    void countsRecomputedTokens() {
        client.complete(completion("r1", FOUR_BLOCKS, 1)).join();
        client = new TestClient(platform.engines().get(1).port());
        client.complete(completion("r2", FOUR_BLOCKS, 1)).join();
        assertThat(platform.counters().recomputedTokens()).isEqualTo(16);
    }

    /** Guards against an engine that hides that it is being drained. */
    @Test
    void reportsLeavingAndLateWork() {
        platform.engineLeaving(engine);
        assertThat(report().get("leaving").asBoolean()).isTrue();
        clock.advance(Duration.ofSeconds(6));
        client.complete(completion("r", FOUR_BLOCKS, 1)).join();
        assertThat(engine.lastWorkAfterLeaving()).hasSeconds(6);
    }

    private void cancel(int stream) {
        String path = "/v1/streams/" + engine.incarnation() + "-" + stream;
        assertThat(client.call("DELETE", path, new byte[0], Map.of()).status()).isEqualTo(204);
    }

    private JsonNode report() {
        return client.get("/v1/report").json();
    }

    private List<String> modelStates() {
        List<String> states = new ArrayList<>();
        report().get("models")
                .forEach(
                        model ->
                                states.add(
                                        model.get("version").asText()
                                                + " "
                                                + model.get("state").asText()));
        return states;
    }

    private List<String> events(int after) {
        List<String> events = new ArrayList<>();
        client.get("/v1/cache/events?after=" + after)
                .json()
                .get("events")
                .forEach(
                        event ->
                                events.add(
                                        event.get("kind").asText()
                                                + " "
                                                + event.get("block_hash").asText()));
        return events;
    }

    private int cachedTokens(Map<String, Object> completion) {
        return client.complete(completion).join().start().get("cached_tokens").asInt();
    }

    private int order(long fencingNumber, int deadlineSeconds, ModelKey... models) {
        Map<String, Object> order =
                Map.of(
                        "models",
                        Stream.of(models)
                                .map(
                                        key ->
                                                Map.of(
                                                        "model", key.model(),
                                                        "adapter", key.adapter(),
                                                        "version", key.version()))
                                .toList(),
                        "role",
                        "serving",
                        "fencing_number",
                        fencingNumber,
                        "deadline",
                        clock.instant().plusSeconds(deadlineSeconds).toString());
        return client.call("POST", "/v1/orders", order).status();
    }

    private static void transfer(TestClient client, String direction, String organisation) {
        Map<String, Object> transfer = completion("unused", FOUR_BLOCKS, 1);
        transfer.put("direction", direction);
        transfer.put("organisation", organisation);
        assertThat(client.call("POST", "/v1/cache/transfers", transfer).status()).isEqualTo(202);
    }

    private static Map<String, Object> completion(String requestId, String prompt, int tokens) {
        Map<String, Object> completion = new HashMap<>();
        completion.put("request_id", requestId);
        completion.put("attempt", 1);
        completion.put("organisation", "org-a");
        completion.put("model", MODEL.model());
        completion.put("adapter", MODEL.adapter());
        completion.put("version", MODEL.version());
        completion.put("prompt", prompt);
        completion.put("continuation", "");
        completion.put("block_hashes", labels("org-a", prompt));
        completion.put("max_tokens", tokens);
        completion.put("priority", 5);
        completion.put("cache_salt", "salt-a");
        completion.put("stream", true);
        return completion;
    }

    private static List<String> labels(String organisation, String prompt) {
        BlockHashChain chain =
                new BlockHasher(BLOCK_TOKENS)
                        .hashChain(new OrganisationId(organisation), MODEL, new Prompt(prompt));
        List<String> labels = new ArrayList<>();
        for (int index = 0; index < chain.length(); index++) {
            labels.add(String.format("%016x", chain.hash(index)));
        }
        return labels;
    }
}
