package org.bergamothoist.daemon.caller;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.prompt.Prompt;
import org.bergamothoist.core.request.CompletionSubmission;
import org.bergamothoist.core.request.ResumeSubmission;

/**
 * Reads the JSON body of a completion. Unknown fields are refused, since a mistyped {@code
 * idempotent} would otherwise let a booking run twice.
 */
final class CompletionBody {

    private static final int MAXIMUM_TOKENS = 1_000_000;
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private final JsonNode body;
    private final Set<String> known = new HashSet<>();

    private CompletionBody(JsonNode body) {
        this.body = body;
    }

    /** Parses a body; fails with {@link InvalidRequestException}. */
    static CompletionBody parse(byte[] bytes) {
        try {
            JsonNode body = MAPPER.readTree(bytes);
            if (body.isObject()) {
                return new CompletionBody(body);
            }
        } catch (JsonProcessingException exception) {
            throw new InvalidRequestException(
                    "body is not valid JSON: " + exception.getOriginalMessage());
        } catch (IOException exception) {
            throw new InvalidRequestException("body is not valid JSON in UTF-8");
        }
        throw new InvalidRequestException("body must be a JSON object");
    }

    /** Returns a completion; fails with {@link InvalidRequestException}. */
    CompletionSubmission submission(CallerHeaders headers, int promptBound) {
        CompletionSubmission submission = read(headers, promptBound);
        refuseUnknownFields();
        return submission;
    }

    /** Returns a resumption; fails with {@link InvalidRequestException}. */
    ResumeSubmission resumption(CallerHeaders headers, int promptBound) {
        ResumeSubmission resumption =
                new ResumeSubmission(
                        read(headers, promptBound),
                        required("resume_token"),
                        integer("next_piece", 0, Integer.MAX_VALUE),
                        optional("delivered_text"));
        refuseUnknownFields();
        return resumption;
    }

    private CompletionSubmission read(CallerHeaders headers, int promptBound) {
        Prompt prompt = new Prompt(required("prompt"));
        if (prompt.bytes().length > promptBound) {
            throw new InvalidRequestException(
                    ErrorCode.TOO_LARGE, "prompt is larger than " + promptBound + " bytes");
        }
        return new CompletionSubmission(
                headers.key(),
                headers.requestId(),
                required("model"),
                optional("adapter").orElse(ModelKey.NO_ADAPTER),
                optional("version"),
                prompt,
                integer("maximum_tokens", 1, MAXIMUM_TOKENS),
                headers.priority(),
                headers.deadline(),
                headers.idempotent() && flag("idempotent", true));
    }

    private String required(String field) {
        return optional(field)
                .orElseThrow(() -> new InvalidRequestException("field " + field + " is missing"));
    }

    private Optional<String> optional(String field) {
        JsonNode value = value(field);
        if (value.isMissingNode() || value.isNull()) {
            return Optional.empty();
        }
        if (!value.isTextual()) {
            throw new InvalidRequestException("field " + field + " must be a text");
        }
        return Optional.of(value.textValue());
    }

    private int integer(String field, int minimum, int maximum) {
        JsonNode value = value(field);
        if (!value.isInt() || value.intValue() < minimum || value.intValue() > maximum) {
            throw new InvalidRequestException(
                    "field %s must be a whole number from %d to %d"
                            .formatted(field, minimum, maximum));
        }
        return value.intValue();
    }

    private boolean flag(String field, boolean defaultValue) {
        JsonNode value = value(field);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isBoolean()) {
            throw new InvalidRequestException("field " + field + " must be true or false");
        }
        return value.booleanValue();
    }

    private JsonNode value(String field) {
        known.add(field);
        return body.path(field);
    }

    private void refuseUnknownFields() {
        body.fieldNames()
                .forEachRemaining(
                        field -> {
                            if (!known.contains(field)) {
                                throw new InvalidRequestException("unknown field " + field);
                            }
                        });
    }
}
