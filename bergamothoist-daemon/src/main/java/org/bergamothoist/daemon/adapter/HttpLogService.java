package org.bergamothoist.daemon.adapter;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.platform.LogPage;
import org.bergamothoist.core.platform.LogService;
import org.bergamothoist.core.platform.PlatformException;

/** Reaches the platform's log over HTTP. */
public final class HttpLogService implements LogService {

    /** Largest record that the log takes, in bytes. */
    private static final int MAXIMUM_RECORD_BYTES = 4 * 1024 * 1024;

    private final OutboundHttp http;
    private final URI base;
    private final Function<LogRecord, byte[]> encoder;
    private final Function<byte[], LogRecord> decoder;

    /**
     * Creates a client of the log below the base URL.
     *
     * @param encoder returns the bytes that the log keeps for a record
     * @param decoder returns the record, or a {@link LogRecord.Unknown} if this version cannot
     *     decode it
     */
    public HttpLogService(
            OutboundHttp http,
            URI base,
            Function<LogRecord, byte[]> encoder,
            Function<byte[], LogRecord> decoder) {
        this.http = http;
        this.base = base;
        this.encoder = encoder;
        this.decoder = decoder;
    }

    @Override
    public CompletionStage<Long> append(LogRecord record) {
        byte[] payload = encoder.apply(record);
        if (payload.length > MAXIMUM_RECORD_BYTES) {
            return CompletableFuture.failedFuture(
                    new PlatformException(
                            "record has " + payload.length + " bytes, more than the log takes"));
        }
        BasicHttpRequest request = new BasicHttpRequest("POST", base.resolve("/records"));
        return http.control(request, payload, ContentType.APPLICATION_OCTET_STREAM)
                .thenApply(
                        answer ->
                                answer.require(HttpStatus.SC_CREATED)
                                        .read(body -> PlatformJson.longInteger(body, "offset")));
    }

    /**
     * Reads records; a page that exceeds the bound of an answer is read again with fewer records.
     */
    @Override
    public CompletionStage<LogPage> read(long fromOffset, int maximumRecords) {
        String query = "/records?from=" + fromOffset + "&maximum=" + maximumRecords;
        return http.control(new BasicHttpRequest("GET", base.resolve(query)), null, null)
                .thenApply(answer -> answer.require(HttpStatus.SC_OK).read(this::page))
                .handle(
                        (page, failure) -> {
                            if (maximumRecords > 1 && isTooLarge(failure)) {
                                return read(fromOffset, maximumRecords / 2);
                            }
                            return failure == null
                                    ? CompletableFuture.completedStage(page)
                                    : CompletableFuture.<LogPage>failedStage(failure);
                        })
                .thenCompose(stage -> stage);
    }

    private static boolean isTooLarge(Throwable failure) {
        return failure instanceof AnswerTooLargeException
                || failure instanceof CompletionException
                        && failure.getCause() instanceof AnswerTooLargeException;
    }

    private LogPage page(JsonNode body) {
        List<LogEntry> entries = new ArrayList<>();
        for (JsonNode record : PlatformJson.array(body, "records")) {
            entries.add(
                    new LogEntry(
                            PlatformJson.longInteger(record, "offset"),
                            PlatformJson.instant(record, "append_time"),
                            decoder.apply(payload(record))));
        }
        return new LogPage(
                PlatformJson.longInteger(body, "first_retained_offset"),
                PlatformJson.longInteger(body, "end_offset"),
                entries);
    }

    private static byte[] payload(JsonNode record) {
        try {
            byte[] payload = record.path("payload").binaryValue();
            if (payload != null) {
                return payload;
            }
        } catch (IOException exception) {
            throw new IllegalArgumentException("field payload is not base64", exception);
        }
        throw new IllegalArgumentException("field payload is missing");
    }
}
