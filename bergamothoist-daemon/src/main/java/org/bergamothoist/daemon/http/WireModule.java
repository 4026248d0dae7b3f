package org.bergamothoist.daemon.http;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.quarantine.Fingerprint;

/**
 * The JSON form of core values: fields in snake case, identifiers as text, constants in lower case
 * except error codes, times and durations in ISO 8601.
 */
public final class WireModule extends SimpleModule {

    private static final long serialVersionUID = 1L;

    /** Creates the module. */
    public WireModule() {
        super("bergamothoist");
        for (Class<?> identifier :
                List.of(
                        DaemonId.class,
                        EngineIncarnation.class,
                        Fingerprint.class,
                        OrganisationId.class,
                        RequestId.class,
                        TargetId.class)) {
            addSerializer(identifier, ToStringSerializer.instance);
        }
        addSerializer(Enum.class, new ConstantSerializer(JsonGenerator::writeString));
        addKeySerializer(Enum.class, new ConstantSerializer(JsonGenerator::writeFieldName));
    }

    /** Sets up a mapper for this form. */
    public static ObjectMapper configure(ObjectMapper mapper) {
        mapper.setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE);
        mapper.disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS);
        mapper.disable(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS);
        return mapper.registerModule(new WireModule());
    }

    /** Writes a text. */
    @FunctionalInterface
    private interface TextWriter {
        void write(JsonGenerator generator, String text) throws IOException;
    }

    /** Writes constants; error codes keep the form of the documented table. */
    @SuppressWarnings("rawtypes")
    private static final class ConstantSerializer extends JsonSerializer<Enum> {

        private final TextWriter writer;

        ConstantSerializer(TextWriter writer) {
            this.writer = writer;
        }

        @Override
        public void serialize(Enum value, JsonGenerator generator, SerializerProvider provider)
                throws IOException {
            String name = value.name();
            writer.write(
                    generator, value instanceof ErrorCode ? name : name.toLowerCase(Locale.ROOT));
        }
    }
}
