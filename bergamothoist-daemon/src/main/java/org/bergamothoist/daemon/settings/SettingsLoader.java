package org.bergamothoist.daemon.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.bergamothoist.core.identity.DaemonId;

/** Reads and checks settings; reports all faults at once. */
public final class SettingsLoader {

    private static final int MIB = 1024 * 1024;
    private static final int KIB = 1024;
    private static final int DEFAULT_BLOCK_TOKENS = 4000;
    private static final int MAXIMUM_BLOCK_TOKENS = 1_000_000;

    /** Bounds above this would let a few callers exhaust the daemon's memory. */
    private static final int MAXIMUM_BOUND = 64 * MIB;

    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private final UnaryOperator<String> environment;

    /**
     * Creates a loader.
     *
     * @param environment returns the value of an environment variable, or null
     */
    public SettingsLoader(UnaryOperator<String> environment) {
        this.environment = environment;
    }

    /**
     * Reads a settings file.
     *
     * @throws SettingsException with every fault
     */
    public DaemonSettings load(Path file) {
        try {
            return parse(file.getFileName().toString(), Files.readString(file));
        } catch (IOException exception) {
            throw new SettingsException(
                    List.of(
                            new SettingsFault(
                                    file.getFileName().toString(),
                                    "cannot be read: " + exception.getMessage())));
        }
    }

    /**
     * Parses the text of a settings file.
     *
     * @param name name of the file, for messages
     * @throws SettingsException with every fault
     */
    public DaemonSettings parse(String name, String text) {
        List<SettingsFault> faults = new ArrayList<>();
        DaemonSettings settings = read(new SettingsNode(tree(name, text), "", faults), faults);
        if (!faults.isEmpty()) {
            throw new SettingsException(faults);
        }
        return settings;
    }

    private static JsonNode tree(String name, String text) {
        String reason = "must be a JSON object";
        try {
            JsonNode tree = MAPPER.readTree(text);
            if (tree.isObject()) {
                return tree;
            }
        } catch (JsonProcessingException exception) {
            reason =
                    "is not valid JSON: "
                            + exception.getOriginalMessage()
                            + " in line "
                            + exception.getLocation().getLineNr();
        }
        throw new SettingsException(List.of(new SettingsFault(name, reason)));
    }

    private DaemonSettings read(SettingsNode node, List<SettingsFault> faults) {
        String daemon = node.text("daemon", name -> new DaemonId(name, 0));
        String virtualMachine = node.text("virtual_machine");
        String dataCentre = node.text("data_centre");
        String region = node.text("region");
        String deployment = node.text("deployment");
        Weightings weightings = weightings(node.object("weightings"));
        NetworkAddress caller = node.address("caller_address");
        NetworkAddress admin = node.address("admin_address");
        NetworkAddress peer = node.address("peer_address");
        checkDistinct(node, caller, admin, peer);
        PlatformUrls platform = platform(node.object("platform"));
        Optional<DeploymentKey> key = deploymentKey(node);
        List<OperatorKey> operators = operators(node);
        int blockTokens =
                node.integer(
                        "block_tokens", Optional.of(DEFAULT_BLOCK_TOKENS), 1, MAXIMUM_BLOCK_TOKENS);
        Bounds bounds = bounds(node.object("bounds"));
        Timings timings = timings(node.object("timings"));
        node.finish();
        if (!faults.isEmpty()) {
            throw new SettingsException(faults);
        }
        return new DaemonSettings(
                daemon,
                virtualMachine,
                dataCentre,
                region,
                deployment,
                weightings,
                caller,
                admin,
                peer,
                platform,
                key.orElseThrow(),
                operators,
                blockTokens,
                bounds,
                timings);
    }

    private static Weightings weightings(SettingsNode node) {
        Weightings weightings =
                new Weightings(node.weight("tail_latency"), node.weight("recomputation"));
        node.finish();
        if (weightings.tailLatency() + weightings.recomputation() == 0) {
            node.fault("tail_latency", "and recomputation must not both be zero");
        }
        return weightings;
    }

    private static PlatformUrls platform(SettingsNode node) {
        PlatformUrls urls =
                new PlatformUrls(
                        node.url("log"),
                        node.url("virtual_machine_list"),
                        node.url("weight_store"),
                        node.url("cache_store"));
        node.finish();
        return urls;
    }

    private static void checkDistinct(SettingsNode node, NetworkAddress... addresses) {
        Set<NetworkAddress> seen = new HashSet<>();
        for (NetworkAddress address : addresses) {
            if (address.port() != 0 && !seen.add(address)) {
                node.fault("caller_address", "admin_address and peer_address must differ");
                return;
            }
        }
    }

    private Optional<DeploymentKey> deploymentKey(SettingsNode node) {
        SettingsNode key = node.object("deployment_key");
        boolean fromEnvironment = key.has("environment");
        if (fromEnvironment == key.has("value")) {
            node.fault("deployment_key", "must have either 'value' or 'environment'");
            return Optional.empty();
        }
        String field = fromEnvironment ? "environment" : "value";
        String text = key.text(field);
        key.finish();
        if (text.isEmpty()) {
            return Optional.empty();
        }
        String secret = fromEnvironment ? environment.apply(text) : text;
        if (secret == null) {
            key.fault(field, "names the environment variable " + text + ", which is not set");
            return Optional.empty();
        }
        try {
            return Optional.of(new DeploymentKey(secret.getBytes(StandardCharsets.UTF_8)));
        } catch (IllegalArgumentException exception) {
            key.fault(field, exception.getMessage());
            return Optional.empty();
        }
    }

    private static List<OperatorKey> operators(SettingsNode node) {
        List<OperatorKey> operators = new ArrayList<>();
        for (SettingsNode operator : node.objects("operators")) {
            operators.add(operator(operator));
        }
        if (operators.isEmpty()) {
            node.fault("operators", "must name at least one operator");
        }
        if (operators.stream().map(OperatorKey::keyDigest).distinct().count() < operators.size()) {
            node.fault("operators", "must have a different key each");
        }
        return operators;
    }

    private static OperatorKey operator(SettingsNode node) {
        String name = node.text("name");
        String office = node.text("office");
        String digest = "";
        if (node.has("key") == node.has("key_digest")) {
            node.fault("key", "must be given, or key_digest instead of it");
        } else if (node.has("key")) {
            digest = sha256(node.text("key"));
        } else {
            digest = node.text("key_digest", SettingsLoader::checkDigest);
        }
        node.finish();
        return new OperatorKey(name, office, digest);
    }

    private static void checkDigest(String digest) {
        if (!digest.matches("[0-9a-f]{64}")) {
            throw new IllegalArgumentException(
                    "must be the key's SHA-256 in 64 lower-case hexadecimal digits");
        }
    }

    private static Bounds bounds(SettingsNode node) {
        Bounds bounds =
                new Bounds(
                        node.size("prompt", MIB, MAXIMUM_BOUND),
                        node.size("body", MIB, MAXIMUM_BOUND),
                        node.size("headers", 16 * KIB, MIB));
        node.finish();
        return bounds;
    }

    private static Timings timings(SettingsNode node) {
        Timings timings =
                new Timings(
                        node.duration("address_lifetime", Duration.ofSeconds(5)),
                        node.duration("stop_deadline", Duration.ofSeconds(60)),
                        node.duration("first_token_timeout", Duration.ofSeconds(30)),
                        node.duration("connect", Duration.ofMillis(500)),
                        node.duration("control", Duration.ofSeconds(5)),
                        node.duration("caller_idle", Duration.ofMinutes(2)));
        node.finish();
        return timings;
    }

    /** Returns the hexadecimal SHA-256 of a text in UTF-8. */
    public static String sha256(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("every Java platform has SHA-256", exception);
        }
    }
}
