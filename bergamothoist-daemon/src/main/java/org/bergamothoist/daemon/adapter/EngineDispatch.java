package org.bergamothoist.daemon.adapter;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.platform.EngineListener;
import org.bergamothoist.core.platform.EngineResponseStart;
import org.bergamothoist.core.platform.TargetFailure;
import org.bergamothoist.core.platform.TargetFailure.Kind;

/** Reads the server-sent events of one dispatch to a model engine. */
final class EngineDispatch extends AbstractDispatch {

    private static final int MAXIMUM_REFUSAL_BYTES = 1024;

    private final EngineListener listener;
    private final StreamCanceller canceller;
    private final boolean resumed;
    private final EventStreamParser parser = new EventStreamParser(this::onEvent);
    private final StringBuilder refusal = new StringBuilder();
    private int status;
    private boolean started;
    private int nextPiece;
    private volatile String streamId;

    /**
     * Creates a dispatch.
     *
     * @param firstPiece index of the first piece that the engine will send
     * @param resumed whether the engine is asked for a stream that it already runs
     * @param canceller tells the engine to stop a stream, by its identifier
     */
    EngineDispatch(
            EngineListener listener, int firstPiece, boolean resumed, StreamCanceller canceller) {
        this.listener = listener;
        this.nextPiece = firstPiece;
        this.resumed = resumed;
        this.canceller = canceller;
    }

    @Override
    protected void deliverSending() {
        listener.onSending();
    }

    @Override
    protected void deliverFailure(TargetFailure failure) {
        listener.onFailed(failure);
    }

    @Override
    public void cancel() {
        boolean running = !isOver();
        super.cancel();
        String id = streamId;
        if (running && id != null) {
            canceller.cancel(id);
        }
    }

    @Override
    public void consumeResponse(
            HttpResponse response,
            EntityDetails entity,
            HttpContext context,
            FutureCallback<Void> callback) {
        status = response.getCode();
        if (entity == null) {
            endOfAnswer();
            callback.completed(null);
        }
    }

    @Override
    public void consume(ByteBuffer source) {
        received(source.remaining());
        if (isOver()) {
            source.position(source.limit());
            return;
        }
        if (status != HttpStatus.SC_OK) {
            collectRefusal(source);
            return;
        }
        try {
            parser.parse(source);
        } catch (IllegalArgumentException exception) {
            failAndAbort(Kind.FAILED, "engine broke the protocol: " + exception.getMessage());
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        endOfAnswer();
    }

    @Override
    public void failed(Exception cause) {
        if (status != 0 && status != HttpStatus.SC_OK) {
            endOfAnswer();
        }
        super.failed(cause);
    }

    private void endOfAnswer() {
        switch (status) {
            case HttpStatus.SC_OK -> connectionFailed("stream ended before the answer was whole");
            case HttpStatus.SC_SERVICE_UNAVAILABLE, HttpStatus.SC_CONFLICT ->
                    fail(Kind.REFUSED, refusalMessage());
            case HttpStatus.SC_NOT_FOUND ->
                    fail(resumed ? Kind.STREAM_UNKNOWN : Kind.FAILED, refusalMessage());
            default -> fail(Kind.FAILED, refusalMessage());
        }
    }

    private String refusalMessage() {
        return "engine answered " + status + (refusal.isEmpty() ? "" : ": " + refusal);
    }

    private void collectRefusal(ByteBuffer source) {
        byte[] part = new byte[source.remaining()];
        source.get(part);
        int room = Math.min(part.length, MAXIMUM_REFUSAL_BYTES - refusal.length());
        if (room > 0) {
            refusal.append(new String(part, 0, room, StandardCharsets.UTF_8));
        }
    }

    private void onEvent(String name, String data) {
        JsonNode content;
        try {
            content = PlatformJson.MAPPER.readTree(data);
        } catch (IOException exception) {
            throw new IllegalArgumentException("event " + name + " is not JSON", exception);
        }
        switch (name) {
            case "start" -> onStart(content);
            case "piece" -> onPiece(content);
            case "done" -> onDone();
            case "error" -> fail(Kind.FAILED, "engine failed: " + content.path("message").asText());
            default -> {
                // Events of later versions are skipped.
            }
        }
    }

    private void onStart(JsonNode content) {
        if (started) {
            throw new IllegalArgumentException("second start event");
        }
        started = true;
        EngineResponseStart start =
                new EngineResponseStart(
                        new EngineIncarnation(PlatformJson.text(content, "incarnation")),
                        PlatformJson.modelKey(content),
                        PlatformJson.text(content, "stream_id"),
                        PlatformJson.integer(content, "cached_tokens"),
                        PlatformJson.integer(content, "prompt_tokens"));
        streamId = start.streamId();
        deliver(() -> listener.onStarted(start));
    }

    private void onPiece(JsonNode content) {
        int index = PlatformJson.integer(content, "index");
        if (!started || index != nextPiece) {
            throw new IllegalArgumentException(
                    "piece " + index + " where piece " + nextPiece + " was due");
        }
        nextPiece++;
        String text = PlatformJson.text(content, "text");
        int tokens = PlatformJson.integer(content, "tokens");
        deliverCounted(() -> listener.onPiece(index, text, tokens));
    }

    private void onDone() {
        if (!started) {
            throw new IllegalArgumentException("done event without start event");
        }
        end(listener::onCompleted);
    }

    /** Tells an engine to stop a stream. */
    @FunctionalInterface
    interface StreamCanceller {

        /** Cancels the stream with the identifier, as far as the engine can be reached. */
        void cancel(String streamId);
    }
}
