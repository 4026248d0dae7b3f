package org.bergamothoist.standin.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Reads and writes messages as JSON with field names in snake case. */
public final class Json {

    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    private Json() {}

    /** Returns the message as UTF-8 bytes. */
    public static byte[] write(Object message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("message cannot be written as JSON", e);
        }
    }

    /**
     * Reads a message.
     *
     * @throws UncheckedIOException if the bytes are not a message of this type
     */
    public static <T> T read(byte[] bytes, Class<T> type) {
        try {
            T message = MAPPER.readValue(bytes, type);
            if (message == null) {
                throw new IOException("empty message");
            }
            return message;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
