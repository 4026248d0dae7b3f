package org.bergamothoist.daemon.caller;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.hc.core5.http.HttpStatus;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.daemon.http.HeaderNames;

/** The form in which callers are told how a request ended. */
public final class OutcomeAnswer {

    private static final long MILLISECONDS_PER_SECOND = 1000;

    private OutcomeAnswer() {}

    /** Returns the HTTP status for a code, as the table in docs/callers.md has it. */
    public static int status(ErrorCode code) {
        return switch (code) {
            case INVALID_REQUEST,
                    REQUEST_IDENTIFIER_REQUIRED,
                    INVALID_RESUME_TOKEN,
                    INVALID_SHEET ->
                    HttpStatus.SC_BAD_REQUEST;
            case UNAUTHENTICATED -> HttpStatus.SC_UNAUTHORIZED;
            case NOT_ENTITLED -> HttpStatus.SC_FORBIDDEN;
            case REQUEST_IDENTIFIER_EXPIRED,
                    REQUEST_ALREADY_CLAIMED,
                    REQUEST_ALREADY_ANSWERED,
                    CANCELLED,
                    SHEET_CONFLICT ->
                    HttpStatus.SC_CONFLICT;
            case STREAM_LOST -> HttpStatus.SC_GONE;
            case TOO_LARGE -> HttpStatus.SC_REQUEST_TOO_LONG;
            case REQUEST_QUARANTINED -> HttpStatus.SC_UNPROCESSABLE_ENTITY;
            case LIMIT_EXCEEDED -> HttpStatus.SC_TOO_MANY_REQUESTS;
            case TARGET_FAILED -> HttpStatus.SC_BAD_GATEWAY;
            case DEADLINE_UNREACHABLE,
                    NO_TARGET,
                    CONFIGURATION_STALE,
                    NOT_READY,
                    LOG_UNAVAILABLE,
                    LOG_FELL_BACK,
                    RETRY_BUDGET_EXHAUSTED,
                    STOPPING,
                    PLATFORM_UNAVAILABLE ->
                    HttpStatus.SC_SERVICE_UNAVAILABLE;
            case DEADLINE_EXCEEDED, TARGET_TIMEOUT -> HttpStatus.SC_GATEWAY_TIMEOUT;
            case INVALID_SETTINGS, INVALID_PEER_MESSAGE, INVARIANT_VIOLATED, INTERNAL ->
                    HttpStatus.SC_INTERNAL_SERVER_ERROR;
        };
    }

    /** Returns the HTTP status of an outcome. */
    static int status(Outcome outcome) {
        if (outcome instanceof Outcome.NotRun notRun) {
            return status(notRun.code());
        }
        return outcome instanceof Outcome.Unknown unknown
                ? status(unknown.code())
                : HttpStatus.SC_OK;
    }

    /** Returns the JSON body of an outcome. */
    static ObjectNode body(Optional<RequestId> requestId, Outcome outcome) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("outcome", name(outcome));
        requestId.ifPresent(id -> body.put("request_id", id.toString()));
        if (outcome instanceof Outcome.NotRun notRun) {
            body.put("code", notRun.code().name());
            body.put("message", notRun.message());
            body.put("retry_after_ms", notRun.retryAfter().toMillis());
        } else if (outcome instanceof Outcome.Unknown unknown) {
            body.put("code", unknown.code().name());
            body.put("message", unknown.message());
        }
        return body;
    }

    /** Writes an outcome as a whole HTTP answer. */
    static void send(CallerConnection connection, Optional<RequestId> requestId, Outcome outcome) {
        byte[] body = body(requestId, outcome).toString().getBytes(StandardCharsets.UTF_8);
        Map<String, List<String>> headers = new LinkedHashMap<>();
        headers.put("Content-Type", List.of("application/json"));
        headers.put(HeaderNames.CONTENT_LENGTH, List.of(Integer.toString(body.length)));
        headers.put("Cache-Control", List.of("no-store"));
        headers.put(HeaderNames.REQUEST_OUTCOME, List.of(name(outcome)));
        requestId.ifPresent(id -> headers.put(HeaderNames.REQUEST_ID, List.of(id.toString())));
        if (outcome instanceof Outcome.NotRun notRun && !notRun.retryAfter().isZero()) {
            headers.put("Retry-After", List.of(seconds(notRun.retryAfter())));
        }
        connection.head(status(outcome), headers);
        connection.write(body);
        connection.end();
    }

    private static String seconds(Duration duration) {
        long rounded =
                (duration.toMillis() + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND;
        return Long.toString(rounded);
    }

    private static String name(Outcome outcome) {
        if (outcome instanceof Outcome.NotRun) {
            return "not_run";
        }
        return outcome instanceof Outcome.Unknown ? "unknown" : "answered";
    }
}
