package org.bergamothoist.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.dropwizard.util.DataSize;
import java.net.URI;
import java.net.URISyntaxException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Reads the values of one JSON object and collects faults instead of stopping at the first. A
 * faulty value reads as a harmless substitute, since the settings are discarded if there is a
 * fault.
 */
final class SettingsNode {

    private static final int MAXIMUM_PORT = 65535;
    private static final Pattern IPV4 =
            Pattern.compile("((25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(?!$)|$)){4}");
    private static final Pattern IPV6 = Pattern.compile("(?=.*:.*:)[0-9a-fA-F:.]{2,45}");
    private static final Set<String> ANY_ADDRESS = Set.of("0.0.0.0", "::", "0:0:0:0:0:0:0:0");
    private static final URI NO_URI = URI.create("http://invalid");

    private final JsonNode object;
    private final String path;
    private final List<SettingsFault> faults;
    private final Set<String> known = new HashSet<>();

    SettingsNode(JsonNode object, String path, List<SettingsFault> faults) {
        this.object = object;
        this.path = path;
        this.faults = faults;
    }

    /** Returns whether the key is present; marks it as known. */
    boolean has(String key) {
        known.add(key);
        return !object.path(key).isMissingNode();
    }

    String text(String key) {
        JsonNode value = value(key);
        if (value.isMissingNode()) {
            fault(key, "is missing");
            return "";
        }
        if (!value.isTextual() || value.textValue().isBlank()) {
            fault(key, "must be a text that is not empty");
            return "";
        }
        return value.textValue();
    }

    /** Returns a required text that the check accepts; its exception's message is the fault. */
    String text(String key, Check check) {
        int before = faults.size();
        String value = text(key);
        if (faults.size() == before) {
            try {
                check.accept(value);
            } catch (IllegalArgumentException exception) {
                fault(key, exception.getMessage());
            }
        }
        return value;
    }

    int integer(String key, Optional<Integer> defaultValue, int minimum, int maximum) {
        JsonNode value = value(key);
        if (value.isMissingNode()) {
            if (defaultValue.isEmpty()) {
                fault(key, "is missing");
            }
            return defaultValue.orElse(minimum);
        }
        if (!value.isInt() || value.intValue() < minimum || value.intValue() > maximum) {
            fault(key, "must be a whole number from " + minimum + " to " + maximum);
            return minimum;
        }
        return value.intValue();
    }

    double weight(String key) {
        JsonNode value = value(key);
        if (value.isMissingNode()) {
            fault(key, "is missing");
            return 1;
        }
        if (!value.isNumber() || !(value.doubleValue() >= 0)) {
            fault(key, "must be a number that is not negative");
            return 1;
        }
        return value.doubleValue();
    }

    Duration duration(String key, Duration defaultValue) {
        JsonNode value = value(key);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        try {
            Duration duration =
                    io.dropwizard.util.Duration.parse(value.asText("")).toJavaDuration();
            if (!duration.isZero()) {
                return duration;
            }
        } catch (IllegalArgumentException exception) {
            // Reported below together with a duration of zero.
        }
        fault(key, "must be a duration above zero, for example \"500ms\", \"5s\" or \"10m\"");
        return defaultValue;
    }

    int size(String key, int defaultValue, int maximum) {
        JsonNode value = value(key);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        try {
            long bytes = DataSize.parse(value.asText("")).toBytes();
            if (bytes > 0 && bytes <= maximum) {
                return (int) bytes;
            }
        } catch (IllegalArgumentException exception) {
            // Reported below together with a size outside the range.
        }
        fault(key, "must be a size up to " + maximum + " bytes, for example \"1MiB\"");
        return defaultValue;
    }

    URI url(String key) {
        int before = faults.size();
        String value = text(key);
        if (faults.size() > before) {
            return NO_URI;
        }
        try {
            URI uri = new URI(value);
            if ("http".equals(uri.getScheme())
                    && uri.getHost() != null
                    && uri.getPort() > 0
                    && uri.getQuery() == null) {
                return uri;
            }
        } catch (URISyntaxException exception) {
            // Reported below together with URLs of another form.
        }
        fault(key, "must be a URL of the form http://host:port");
        return NO_URI;
    }

    NetworkAddress address(String key) {
        SettingsNode node = object(key);
        String host = node.text("host", SettingsNode::checkHost);
        int port = node.integer("port", Optional.empty(), 0, MAXIMUM_PORT);
        node.finish();
        return new NetworkAddress(host, port);
    }

    /** Returns a nested object, empty if it is missing, which its own required keys report. */
    SettingsNode object(String key) {
        JsonNode value = value(key);
        if (!value.isMissingNode() && !value.isObject()) {
            fault(key, "must be an object");
        }
        return new SettingsNode(value, path + key + ".", faults);
    }

    List<SettingsNode> objects(String key) {
        JsonNode value = value(key);
        if (!value.isMissingNode() && !value.isArray()) {
            fault(key, "must be a list of objects");
            return List.of();
        }
        List<SettingsNode> nodes = new ArrayList<>();
        for (int index = 0; index < value.size(); index++) {
            nodes.add(new SettingsNode(value.get(index), path + key + "[" + index + "].", faults));
        }
        return nodes;
    }

    void fault(String key, String reason) {
        faults.add(new SettingsFault(path + key, reason));
    }

    /** Reports keys that were not read, since a mistyped key would otherwise mean its default. */
    void finish() {
        object.fieldNames()
                .forEachRemaining(
                        key -> {
                            if (!known.contains(key)) {
                                fault(key, "is not a known setting");
                            }
                        });
    }

    private JsonNode value(String key) {
        known.add(key);
        JsonNode value = object.path(key);
        return value.isNull() ? MissingNode.getInstance() : value;
    }

    private static void checkHost(String host) {
        if (!IPV4.matcher(host).matches() && !IPV6.matcher(host).matches()) {
            throw new IllegalArgumentException("must be an IP address, not '" + host + "'");
        }
        if (ANY_ADDRESS.contains(host)) {
            throw new IllegalArgumentException(
                    "must be an address that others can connect to, not '" + host + "'");
        }
    }

    /** Checks a text. */
    @FunctionalInterface
    interface Check {

        /**
         * Checks a value.
         *
         * @throws IllegalArgumentException if it is wrong
         */
        void accept(String value);
    }
}
