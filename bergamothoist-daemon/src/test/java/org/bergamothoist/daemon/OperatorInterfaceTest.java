package org.bergamothoist.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.Random;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.identity.RequestId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OperatorInterfaceTest {

    private static final String KEY = "Authorization: Bearer " + TestDaemon.OPERATOR_KEY;

    private TestDaemon daemon;

    @BeforeEach
    void start() {
        daemon = new TestDaemon();
    }

    @AfterEach
    void stop() {
        daemon.close();
    }

    private String ask(String method, String path, String body, String... headers)
            throws Exception {
        try (RawClient client = daemon.connect().send(method, path, body, headers)) {
            return client.answer();
        }
    }

    /** Guards against operators' functions that work without, or with a wrong, key. */
    @ParameterizedTest
    @CsvSource({
        "GET, /operator/status, text/csv, 401",
        "GET, //operator/status, text/csv, 401|400|404",
        "GET, /operator;x/status, text/csv, 401|400|404",
        "GET, /%6Fperator/status, text/csv, 401|400|404",
        "GET, /operator/timeline, text/csv, 401",
        "GET, /operator/sheets/current, text/csv, 401",
        "GET, /operator/sheets/d1, text/csv, 401",
        "POST, /operator/sheets, text/csv, 401",
        "POST, /operator/quarantine/release, application/json, 401"
    })
    void requiresAKnownKey(String method, String path, String type, String statuses)
            throws Exception {
        for (String key : new String[] {"X: 1", "Authorization: Bearer wrong", KEY + "x"}) {
            assertThat(ask(method, path, "{}", key, "Content-Type: " + type))
                    .matches("(?s)HTTP/1.1 (" + statuses + ").*");
        }
        assertThat(daemon.router.released).isEmpty();
    }

    /** Guards against a sheet in another's name, or a recorded one that is reported as in force. */
    @Test
    void submitsSheets() throws Exception {
        assertThat(ask("POST", "/operator/sheets", "x", KEY, "Content-Type: text/csv"))
                .startsWith("HTTP/1.1 202")
                .contains("\"reach\":\"recorded\"", "\"office\":\"biel\"", "\"operator\":\"anna\"")
                .contains("\"decided_at\":\"1970-01-01T00:00:00Z\"", "\"first_offset\":7");
        assertThat(ask("POST", "/operator/sheets", "fault", KEY, "Content-Type: text/csv"))
                .startsWith("HTTP/1.1 400")
                .contains("INVALID_SHEET", "{\"row\":2,\"column\":\"weight\",\"reason\":");
        assertThat(ask("GET", "/operator/sheets/d1", "", KEY)).contains("in_force");
        assertThat(ask("GET", "/operator/sheets/d2", "", KEY)).startsWith("HTTP/1.1 404");
    }

    /** Guards against views that programs cannot read. */
    @Test
    void showsState() throws Exception {
        assertThat(ask("GET", "/operator/status", "", KEY))
                .startsWith("HTTP/1.1 200")
                .contains("\"daemon\":\"fake#1\"", "\"configuration\":\"fresh\"")
                .contains("\"confirmed_age\":\"PT0.25S\"");
        assertThat(ask("GET", "/operator/timeline?after=41.3", "", KEY))
                .contains("{\"milliseconds\":42,\"counter\":2}", "\"kind\":\"daemon_ready\"");
        assertThat(ask("GET", "/operator/timeline?after=x", "", KEY)).startsWith("HTTP/1.1 400");
        assertThat(ask("GET", "/operator/sheets/current", "", KEY, "Accept: application/json"))
                .endsWith("[]");
        assertThat(ask("GET", "/operator/sheets/current", "", KEY, "Accept: text/csv"))
                .endsWith("organisation\n");
    }

    /** Guards against a release without the operator's name, or of nonsense. */
    @Test
    void releasesQuarantine() throws Exception {
        String fingerprint = "ab".repeat(32);
        String json = "Content-Type: application/json";
        assertThat(
                        ask(
                                "POST",
                                "/operator/quarantine/release",
                                "{\"fingerprint\":\"" + fingerprint + "\"}",
                                KEY,
                                json))
                .startsWith("HTTP/1.1 204");
        assertThat(daemon.router.released).containsExactly("anna " + fingerprint);
        assertThat(ask("POST", "/operator/quarantine/release", "{}", KEY, json))
                .startsWith("HTTP/1.1 400");
    }

    /** Guards against address answers and cancellations in another form than documented. */
    @Test
    void servesAddressesAndCancellation() throws Exception {
        assertThat(ask("GET", "/v1/addresses?data_centre=bern-b&affinity=x", ""))
                .endsWith(
                        "{\"addresses\":[{\"address\":\"127.0.0.1:1\",\"data_centre\":\"bern-b\"}],"
                                + "\"lifetime_ms\":5000}");
        String path = "/v1/completions/" + RequestId.create(Instant.EPOCH, new Random(1));
        assertThat(ask("DELETE", path, "", "Authorization: Bearer known"))
                .startsWith("HTTP/1.1 204");
        assertThat(ask("DELETE", path, "", "Authorization: Bearer other"))
                .startsWith("HTTP/1.1 404");
        assertThat(ask("DELETE", path, "")).startsWith("HTTP/1.1 401");
        assertThat(ask("DELETE", "/v1/completions/7", "", "Authorization: Bearer known"))
                .startsWith("HTTP/1.1 400");
    }

    /** Guards against a daemon that takes traffic too early, or a stop that leaves things open. */
    @Test
    void isReadyOnlyWhileItsRouterServes() throws Exception {
        TestDaemon other = new TestDaemon();
        assertThat(admin(other, "/ready")).startsWith("HTTP/1.1 503");
        other.router.started.complete(null);
        assertThat(admin(other, "/ready")).startsWith("HTTP/1.1 200");
        assertThat(admin(other, "/healthcheck")).startsWith("HTTP/1.1 200");
        assertThat(admin(other, "/metrics")).contains("control.queue");
        assertThat(other.instance.settings().peerAddress().port()).isEqualTo(4711);
        CompletionStage<Void> stopped = other.instance.stop();
        assertThat(admin(other, "/ready")).startsWith("HTTP/1.1 503");
        assertThat(stopped.toCompletableFuture()).isNotDone();
        other.close();
        assertThat(stopped.toCompletableFuture()).isCompleted();
    }

    private static String admin(TestDaemon other, String path) throws Exception {
        try (RawClient client = other.connectAdmin().send("GET", path, "")) {
            String head = client.head();
            return head.contains("chunked") ? head + client.chunks() : head;
        }
    }
}
