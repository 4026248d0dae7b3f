package org.bergamothoist.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SettingsLoaderTest {

    private static final String KEY = "0123456789abcdef0123456789abcdef";

    private static SettingsLoader loader(Map<String, String> environment) {
        return new SettingsLoader(environment::get);
    }

    private static Path example(String deployment) {
        return Path.of("..", "deployments", deployment, "settings.json");
    }

    /** Guards against examples that no longer load, and against changed defaults. */
    @ParameterizedTest
    @ValueSource(strings = {"brunner", "al-harthy"})
    void loadsExamples(String deployment) {
        DaemonSettings settings =
                loader(Map.of("BERGAMOTHOIST_DEPLOYMENT_KEY", KEY)).load(example(deployment));
        assertThat(settings.deployment()).isEqualTo(deployment);
        assertThat(settings.blockTokens()).isEqualTo(4000);
        assertThat(settings.bounds()).isEqualTo(new Bounds(1 << 20, 1 << 20, 16 << 10));
        assertThat(settings.timings().addressLifetime()).isEqualTo(Duration.ofSeconds(5));
        assertThat(settings.timings().stopDeadline()).isEqualTo(Duration.ofSeconds(60));
        assertThat(settings.toString()).doesNotContain(KEY);
    }

    /** Guards against settings that must be corrected one fault at a time. */
    @Test
    void reportsAllFaultsWithTheirKeys() {
        String text =
                """
                {"daemon": "", "data_centre": "biel-a", "region": 7, "deployment": "brunner",
                 "weightings": {"tail_latency": -1},
                 "caller_address": {"host": "localhost", "port": 70000},
                 "admin_address": {"host": "0.0.0.0", "port": 81},
                 "peer_address": {"host": "10.0.0.999", "port": 82, "prot": 1},
                 "platform": {"log": "log:1", "virtual_machine_list": "http://10.0.0.1:1",
                   "weight_store": "http://10.0.0.1", "cache_store": "http://10.0.0.1:2"},
                 "deployment_key": {"environment": "MISSING"},
                 "operators": [{"name": "anna", "office": "biel", "key_digest": "12"}],
                 "block_tokens": 0,
                 "bounds": {"prompt": "1 lightyear"},
                 "timings": {"stop_deadline": "soon", "connect": "0s"},
                 "stop_dedline": "60s"}
                """;
        assertThat(faults(text, Map.of()))
                .extracting(SettingsFault::key)
                .containsExactlyInAnyOrder(
                        "daemon",
                        "virtual_machine",
                        "region",
                        "weightings.tail_latency",
                        "weightings.recomputation",
                        "caller_address.host",
                        "caller_address.port",
                        "admin_address.host",
                        "peer_address.host",
                        "peer_address.prot",
                        "platform.log",
                        "platform.weight_store",
                        "deployment_key.environment",
                        "operators[0].key_digest",
                        "block_tokens",
                        "bounds.prompt",
                        "timings.stop_deadline",
                        "timings.connect",
                        "stop_dedline");
    }

    /** Guards against an empty file or a missing object that passes or stops the check early. */
    @Test
    void reportsEveryMissingKey() {
        assertThat(faults("{}", Map.of()))
                .extracting(SettingsFault::key)
                .contains("daemon", "caller_address.port", "platform.log", "deployment_key")
                .contains("weightings.tail_latency", "operators")
                .doesNotContain("block_tokens", "bounds.prompt", "timings.connect");
    }

    /** Guards against a short key, which would weaken resume tokens and peer messages. */
    @Test
    void refusesShortDeploymentKey() {
        assertThat(faults("{\"deployment_key\": {\"environment\": \"K\"}}", Map.of("K", "short")))
                .anyMatch(
                        fault ->
                                fault.key().equals("deployment_key.environment")
                                        && fault.reason().contains("32 bytes"));
    }

    /** Guards against a stack trace instead of a fault for a file that is not JSON. */
    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "{\"daemon\": }", "{\"a\": 1, \"a\": 2}"})
    void reportsMalformedFile(String text) {
        assertThat(faults(text, Map.of()))
                .singleElement()
                .extracting(SettingsFault::key)
                .isEqualTo("settings.json");
    }

    private static List<SettingsFault> faults(String text, Map<String, String> environment) {
        return catchThrowableOfType(
                        SettingsException.class,
                        () -> loader(environment).parse("settings.json", text))
                .faults();
    }
}
