package org.bergamothoist.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.standin.CacheStoreStandIn.BlockName;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class PlatformStandInTest {

    private final ManualClock clock = new ManualClock();
    private final PlatformStandIn platform = PlatformStandIn.start(Deployment.AL_HARTHY, clock);

    @AfterEach
    void close() {
        platform.close();
    }

    static Stream<Deployment> deployments() {
        return Stream.of(Deployment.BRUNNER, Deployment.AL_HARTHY);
    }

    /** Guards against a deployment whose list misses a target or names a wrong port. */
    @ParameterizedTest
    @MethodSource("deployments")
    void listsAllTargets(Deployment deployment) {
        try (PlatformStandIn started = PlatformStandIn.start(deployment, clock)) {
            List<String> names = new ArrayList<>();
            List<Integer> ports = new ArrayList<>();
            for (JsonNode machine : list(started)) {
                names.add(machine.get("name").asText());
                ports.add(machine.get("port").asInt());
                assertThat(deployment.dataCentres()).contains(machine.get("data_centre").asText());
            }
            assertThat(names)
                    .hasSize(deployment.engines() + deployment.services())
                    .contains(deployment.engineGroup() + "-1", deployment.serviceGroup() + "-1");
            assertThat(ports)
                    .containsAll(started.engines().stream().map(EngineStandIn::port).toList())
                    .containsAll(
                            started.services().stream().map(PlainServiceStandIn::port).toList());
        }
    }

    /** Guards against a list without lag, which would hide faults of stale membership. */
    @Test
    void showsChangesAfterTheLag() {
        platform.registerDaemon("entry-1", 4711, "muscat-a");
        assertThat(daemonStates()).isEmpty();
        clock.advance(Duration.ofSeconds(1));
        assertThat(daemonStates()).containsExactly("live");
        platform.daemonLeaving("entry-1");
        assertThat(daemonStates()).containsExactly("live");
        clock.advance(Duration.ofSeconds(1));
        assertThat(daemonStates()).containsExactly("leaving");
        platform.removeDaemon("entry-1");
        clock.advance(Duration.ofSeconds(1));
        assertThat(daemonStates()).isEmpty();
        platform.machines().down();
        assertThat(new TestClient(platform.machines().port()).get("/vms").status()).isEqualTo(503);
    }

    /** Guards against a weight store that knows every key or that has no rate limit. */
    @Test
    void looksUpWeightsUnderARateLimit() {
        TestClient client = new TestClient(platform.weightStore().port());
        assertThat(head(client, "/weights/lamp-models/base/1")).isEqualTo(200);
        assertThat(head(client, "/weights/lamp-models/base/2")).isEqualTo(404);
        int status = 200;
        for (int call = 0; call < 60 && status == 200; call++) {
            status = head(client, "/weights/lamp-models/base/1");
        }
        assertThat(status).isEqualTo(429);
        clock.advance(Duration.ofSeconds(1));
        platform.weightStore().down();
        assertThat(head(client, "/weights/lamp-models/base/1")).isEqualTo(503);
    }

    /** Guards against loads that are equally fast however many servers load at once. */
    @ParameterizedTest
    @CsvSource({"1, 2000", "2, 2000", "3, 3000", "6, 6000"})
    void slowsDownConcurrentLoads(int loads, long milliseconds) {
        Duration last = Duration.ZERO;
        for (int load = 0; load < loads; load++) {
            last = platform.weightStore().beginLoad().orElseThrow();
        }
        assertThat(last).hasMillis(milliseconds);
        assertThat(platform.weightStore().mostConcurrentLoads()).isEqualTo(loads);
    }

    /** Guards against a store that mixes organisations or that grows without bound. */
    @Test
    void storesBlocksUnderTheFullKey() {
        TestClient client = new TestClient(platform.cacheStore().port());
        String path = "/blocks/M%C3%BCller%20&+S/lamp-models/base/1/";
        assertThat(client.call("PUT", path + "01", new byte[] {7}, Map.of()).status())
                .isEqualTo(204);
        assertThat(client.get(path + "01").body()).containsExactly(7);
        assertThat(storedBlocks(client, "Müller &+S")).isEqualTo(1);
        assertThat(storedBlocks(client, "other")).isZero();
        platform.cacheStore().down();
        assertThat(client.get(path + "01").status()).isEqualTo(503);
    }

    /** Guards against unbounded memory of the KV cache store. */
    @Test
    void dropsTheLeastRecentlyUsedBlock() {
        CacheStoreStandIn store = platform.cacheStore();
        int blockBytes = 8 << 20;
        Stream.of("01", "02").forEach(hash -> store.put(name(hash), new byte[blockBytes]));
        store.get(name("01"));
        store.put(name("03"), new byte[blockBytes]);
        assertThat(store.get(name("01"))).isPresent();
        assertThat(store.get(name("02"))).isEmpty();
        assertThat(store.storedBlocks()).isEqualTo(2);
    }

    /** Guards against a service that changes bodies or that miscounts executions on faults. */
    @Test
    void countsExecutionsOfServiceCalls() {
        PlainServiceStandIn service = platform.services().get(0);
        TestClient client = new TestClient(service.port());
        TestClient.Answer answer = book(client, "a");
        assertThat(new String(answer.body())).isEqualTo("two candles");
        assertThat(answer.headers().firstValue("Echo-Path")).hasValue("/bookings?day=thursday");
        service.breakAfterReceiving(1);
        assertThatThrownBy(() -> book(client, "b")).isInstanceOf(UncheckedIOException.class);
        service.loseAnswers(1);
        assertThatThrownBy(() -> book(client, "c")).isInstanceOf(UncheckedIOException.class);
        service.slow(Duration.ofMillis(10));
        book(client, "d");
        book(client, "d");
        assertThat(Stream.of("a", "b", "c", "d").map(platform::executions))
                .containsExactly(1, 0, 1, 2);
        service.crash();
        assertThatThrownBy(() -> book(client, "e")).isInstanceOf(UncheckedIOException.class);
        service.restart();
        assertThat(book(client, "e").status()).isEqualTo(200);
    }

    /** Guards against unbounded request bodies and against failures that break the server. */
    @ParameterizedTest
    @CsvSource({"'{', 400", "'{}', 400", "'null', 400"})
    void refusesMalformedRequests(String body, int status) {
        TestClient client = new TestClient(platform.engines().get(0).port());
        byte[] bytes = body.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        assertThat(client.call("POST", "/v1/completions", bytes, Map.of()).status())
                .isEqualTo(status);
        assertThat(client.get("/v1/unknown").status()).isEqualTo(404);
    }

    private static BlockName name(String hash) {
        return new BlockName("a", new ModelKey("m", "base", "1"), hash);
    }

    private static int storedBlocks(TestClient client, String organisation) {
        Map<String, Object> lookup =
                Map.of(
                        "organisation", organisation,
                        "model", "lamp-models",
                        "adapter", "base",
                        "version", "1",
                        "block_hashes", List.of("01", "02"));
        return client.call("POST", "/lookups", lookup).json().get("stored_blocks").asInt();
    }

    private static int head(TestClient client, String path) {
        return client.call("HEAD", path, new byte[0], Map.of()).status();
    }

    private static TestClient.Answer book(TestClient client, String requestId) {
        return client.call(
                "POST",
                "/bookings?day=thursday",
                "two candles".getBytes(java.nio.charset.StandardCharsets.UTF_8),
                Map.of("Request-Id", requestId));
    }

    private List<String> daemonStates() {
        List<String> states = new ArrayList<>();
        for (JsonNode machine : list(platform)) {
            if (machine.get("role").asText().equals("entry")) {
                states.add(machine.get("state").asText());
            }
        }
        return states;
    }

    private static JsonNode list(PlatformStandIn platform) {
        return new TestClient(platform.machines().port()).get("/vms").json().get("vms");
    }
}
