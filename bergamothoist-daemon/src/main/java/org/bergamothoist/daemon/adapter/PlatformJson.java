package org.bergamothoist.daemon.adapter;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.platform.PlatformException;

/** Reads and writes the JSON of outside systems; a malformed field names itself. */
final class PlatformJson {

    static final ObjectMapper MAPPER = new ObjectMapper();

    private static final int HEXADECIMAL = 16;

    private PlatformJson() {}

    /** Returns the JSON of an answer; fails with {@link PlatformException}. */
    static JsonNode parse(OutboundHttp.Answer answer) {
        try {
            return MAPPER.readTree(answer.body());
        } catch (IOException exception) {
            throw new PlatformException("answer is not JSON", exception);
        }
    }

    static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("a JSON tree can always be written", exception);
        }
    }

    static String text(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw new IllegalArgumentException("field " + field + " is not a text");
        }
        return value.textValue();
    }

    static int integer(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isInt() || value.intValue() < 0) {
            throw new IllegalArgumentException("field " + field + " is not a whole number");
        }
        return value.intValue();
    }

    static long longInteger(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new IllegalArgumentException("field " + field + " is not a whole number");
        }
        return value.longValue();
    }

    static boolean flag(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isBoolean()) {
            throw new IllegalArgumentException("field " + field + " is neither true nor false");
        }
        return value.booleanValue();
    }

    static Instant instant(JsonNode node, String field) {
        try {
            return Instant.parse(text(node, field));
        } catch (DateTimeException exception) {
            throw new IllegalArgumentException("field " + field + " is not a time", exception);
        }
    }

    static JsonNode array(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isArray()) {
            throw new IllegalArgumentException("field " + field + " is not a list");
        }
        return value;
    }

    static ModelKey modelKey(JsonNode node) {
        return new ModelKey(text(node, "model"), text(node, "adapter"), text(node, "version"));
    }

    static ObjectNode put(ObjectNode node, ModelKey key) {
        return node.put("model", key.model())
                .put("adapter", key.adapter())
                .put("version", key.version());
    }

    static String blockHash(long hash) {
        return HexFormat.of().toHexDigits(hash);
    }

    static long blockHash(JsonNode value) {
        String text = value.asText();
        if (text.length() != HEXADECIMAL) {
            throw new IllegalArgumentException("not a block hash: " + text);
        }
        return Long.parseUnsignedLong(text, HEXADECIMAL);
    }

    static List<Long> blockHashes(JsonNode node, String field) {
        List<Long> hashes = new ArrayList<>();
        array(node, field).forEach(value -> hashes.add(blockHash(value)));
        return hashes;
    }

    static ArrayNode blockHashes(List<Long> hashes) {
        ArrayNode array = MAPPER.createArrayNode();
        hashes.forEach(hash -> array.add(blockHash(hash)));
        return array;
    }

    /** Returns the text as one segment of a path. */
    static String segment(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
