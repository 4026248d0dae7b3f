package org.bergamothoist.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.util.Timeout;
import org.bergamothoist.core.error.ErrorCode;

/** Talks to the operators' interface of one daemon. */
final class DaemonClient {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** A sheet is answered once its verdict is known and, at most 4 s later, in force. */
    private static final Timeout RESPONSE_TIMEOUT = Timeout.ofSeconds(30);

    private static final int UNAUTHENTICATED = 401;

    private final String address;
    private final String key;

    DaemonClient(String address, String key) {
        this.address = address;
        this.key = key;
    }

    /** Reads JSON; fails with {@link CommandException}. */
    Answer get(String path) {
        return send(ClassicRequestBuilder.get(url(path)).addHeader("Accept", "application/json"));
    }

    /** Reads CSV text; fails with {@link CommandException}. */
    String csv(String path) {
        Answer answer = send(ClassicRequestBuilder.get(url(path)).addHeader("Accept", "text/csv"));
        return answer.require(200).text();
    }

    /** Sends CSV text; fails with {@link CommandException}. */
    Answer postCsv(String path, String csv) {
        ContentType type = ContentType.create("text/csv", StandardCharsets.UTF_8);
        return send(ClassicRequestBuilder.post(url(path)).setEntity(new StringEntity(csv, type)));
    }

    private String url(String path) {
        return "http://" + address + path;
    }

    private Answer send(ClassicRequestBuilder builder) {
        ClassicHttpRequest request = builder.addHeader("Authorization", "Bearer " + key).build();
        RequestConfig config = RequestConfig.custom().setResponseTimeout(RESPONSE_TIMEOUT).build();
        try (CloseableHttpClient client =
                HttpClients.custom()
                        .disableAutomaticRetries()
                        .disableRedirectHandling()
                        .setDefaultRequestConfig(config)
                        .build()) {
            return client.execute(
                            request,
                            response ->
                                    new Answer(
                                            response.getCode(),
                                            response.getEntity() == null
                                                    ? ""
                                                    : EntityUtils.toString(response.getEntity())))
                    .authenticated();
        } catch (IOException exception) {
            throw new CommandException(
                    ErrorCode.PLATFORM_UNAVAILABLE,
                    "daemon " + address + " cannot be reached: " + exception.getMessage(),
                    exception);
        }
    }

    /** What a daemon answered. */
    record Answer(int status, String text) {

        private Answer authenticated() {
            if (status == UNAUTHENTICATED) {
                throw new CommandException(
                        ErrorCode.UNAUTHENTICATED, "operator key is missing or unknown");
            }
            return this;
        }

        /** Returns this answer if it has the status; fails with {@link CommandException}. */
        Answer require(int expected) {
            if (status != expected) {
                throw unexpected();
            }
            return this;
        }

        /** Returns the exception for an answer of no use. */
        CommandException unexpected() {
            return new CommandException(
                    ErrorCode.PLATFORM_UNAVAILABLE, "daemon answered " + status + ": " + text);
        }

        /** Returns the JSON body; fails with {@link CommandException}. */
        JsonNode json() {
            try {
                return MAPPER.readTree(text);
            } catch (JsonProcessingException exception) {
                throw new CommandException(
                        ErrorCode.PLATFORM_UNAVAILABLE,
                        "daemon answered " + status + " without JSON",
                        exception);
            }
        }
    }
}
