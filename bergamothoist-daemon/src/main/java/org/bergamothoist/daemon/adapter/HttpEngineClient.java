package org.bergamothoist.daemon.adapter;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.AsyncEntityProducer;
import org.apache.hc.core5.http.nio.entity.BasicAsyncEntityProducer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.platform.BlockTransfer;
import org.bergamothoist.core.platform.CacheEvent;
import org.bergamothoist.core.platform.CacheEventPage;
import org.bergamothoist.core.platform.CacheSnapshot;
import org.bergamothoist.core.platform.EngineCall;
import org.bergamothoist.core.platform.EngineClient;
import org.bergamothoist.core.platform.EngineListener;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.EngineResume;
import org.bergamothoist.core.platform.LoadedModel;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetOrder;
import org.bergamothoist.core.platform.TargetStream;

/** Talks to model engines over HTTP. */
public final class HttpEngineClient implements EngineClient {

    private static final Logger LOGGER = LogManager.getLogger(HttpEngineClient.class);

    private final OutboundHttp http;

    /** Creates a client that uses the shared connections. */
    public HttpEngineClient(OutboundHttp http) {
        this.http = http;
    }

    @Override
    public TargetStream start(EngineCall call, EngineListener listener) {
        BasicHttpRequest request = request("POST", call.target(), "/v1/completions");
        AsyncEntityProducer entity =
                new BasicAsyncEntityProducer(
                        PlatformJson.bytes(body(call)), ContentType.APPLICATION_JSON);
        return dispatch(call.target(), request, entity, listener, 0, false);
    }

    @Override
    public TargetStream resume(EngineResume resume, EngineListener listener) {
        String path = streamPath(resume.streamId()) + "?from=" + resume.fromPiece();
        BasicHttpRequest request = request("GET", resume.target(), path);
        request.addHeader("Engine-Incarnation", resume.incarnation().value());
        return dispatch(resume.target(), request, null, listener, resume.fromPiece(), true);
    }

    private TargetStream dispatch(
            Target target,
            BasicHttpRequest request,
            AsyncEntityProducer entity,
            EngineListener listener,
            int firstPiece,
            boolean resumed) {
        request.addHeader("Accept", ContentType.TEXT_EVENT_STREAM.getMimeType());
        EngineDispatch dispatch =
                new EngineDispatch(
                        listener, firstPiece, resumed, streamId -> cancel(target, streamId));
        dispatch.running(http.dispatch(request, entity, dispatch));
        return dispatch;
    }

    /** Stops generation; a failure only means that the engine works on until it notices. */
    private void cancel(Target target, String streamId) {
        http.control(request("DELETE", target, streamPath(streamId)), null, null)
                .whenComplete(
                        (answer, failure) -> {
                            if (failure != null) {
                                LOGGER.warn(
                                        "engine {} could not be told to cancel stream {}: {}",
                                        target.id(),
                                        streamId,
                                        failure.getMessage());
                            }
                        });
    }

    private static ObjectNode body(EngineCall call) {
        ObjectNode body = PlatformJson.MAPPER.createObjectNode();
        body.put("request_id", call.requestId().toString());
        body.put("attempt", call.attempt());
        body.put("organisation", call.organisation().value());
        PlatformJson.put(body, call.modelKey());
        body.put("prompt", call.prompt().text());
        body.put("continuation", call.deliveredText());
        ArrayNode hashes = body.putArray("block_hashes");
        for (int index = 0; index < call.hashChain().length(); index++) {
            hashes.add(PlatformJson.blockHash(call.hashChain().hash(index)));
        }
        body.put("max_tokens", call.maximumTokens());
        body.put("priority", call.priority());
        body.put("cache_salt", call.cacheSalt());
        return body.put("stream", true);
    }

    @Override
    public CompletionStage<EngineReport> report(Target target) {
        return read(target, "/v1/report", HttpEngineClient::report);
    }

    private static EngineReport report(JsonNode body) {
        List<LoadedModel> models = new ArrayList<>();
        for (JsonNode model : PlatformJson.array(body, "models")) {
            boolean ready = "ready".equals(PlatformJson.text(model, "state"));
            models.add(
                    new LoadedModel(
                            PlatformJson.modelKey(model),
                            ready ? LoadedModel.State.READY : LoadedModel.State.LOADING));
        }
        return new EngineReport(
                incarnation(body),
                models,
                PlatformJson.longInteger(body, "queued_tokens"),
                PlatformJson.integer(body, "running_streams"),
                PlatformJson.instant(body, "measured_at"),
                PlatformJson.longInteger(body, "last_event_sequence"),
                PlatformJson.flag(body, "leaving"),
                PlatformJson.flag(body, "fencing"));
    }

    @Override
    public CompletionStage<CacheEventPage> cacheEvents(Target target, long afterSequence) {
        return read(
                target, "/v1/cache/events?after=" + afterSequence, HttpEngineClient::cacheEvents);
    }

    private static CacheEventPage cacheEvents(JsonNode body) {
        List<CacheEvent> events = new ArrayList<>();
        for (JsonNode event : PlatformJson.array(body, "events")) {
            CacheEvent.Kind kind =
                    switch (PlatformJson.text(event, "kind")) {
                        case "stored" -> CacheEvent.Kind.STORED;
                        case "removed" -> CacheEvent.Kind.REMOVED;
                        default -> throw new IllegalArgumentException("unknown kind of event");
                    };
            events.add(
                    new CacheEvent(
                            PlatformJson.longInteger(event, "sequence"),
                            kind,
                            PlatformJson.blockHash(event.path("block_hash"))));
        }
        return new CacheEventPage(incarnation(body), events);
    }

    @Override
    public CompletionStage<CacheSnapshot> cacheSnapshot(Target target) {
        return read(
                target,
                "/v1/cache/snapshot",
                body ->
                        new CacheSnapshot(
                                incarnation(body),
                                PlatformJson.longInteger(body, "sequence"),
                                PlatformJson.blockHashes(body, "block_hashes")));
    }

    @Override
    public CompletionStage<Void> order(Target target, TargetOrder order) {
        ObjectNode body = PlatformJson.MAPPER.createObjectNode();
        ArrayNode models = body.putArray("models");
        order.models().forEach(key -> PlatformJson.put(models.addObject(), key));
        body.put("role", order.role());
        body.put("fencing_number", order.fencingNumber());
        body.put("deadline", order.deadline().toString());
        return post(target, "/v1/orders", body);
    }

    @Override
    public CompletionStage<Void> transferBlocks(
            Target target, OrganisationId organisation, BlockTransfer transfer) {
        ObjectNode body = PlatformJson.MAPPER.createObjectNode();
        boolean export = transfer.direction() == BlockTransfer.Direction.EXPORT;
        body.put("direction", export ? "export" : "import");
        body.put("organisation", organisation.value());
        PlatformJson.put(body, transfer.modelKey());
        body.set("block_hashes", PlatformJson.blockHashes(transfer.blockHashes()));
        return post(target, "/v1/cache/transfers", body);
    }

    private CompletionStage<Void> post(Target target, String path, ObjectNode body) {
        return http.control(
                        request("POST", target, path),
                        PlatformJson.bytes(body),
                        ContentType.APPLICATION_JSON)
                .thenAccept(answer -> answer.require(HttpStatus.SC_ACCEPTED));
    }

    private <T> CompletionStage<T> read(Target target, String path, Function<JsonNode, T> reader) {
        return http.control(request("GET", target, path), null, null)
                .thenApply(answer -> answer.require(HttpStatus.SC_OK).read(reader));
    }

    private static EngineIncarnation incarnation(JsonNode body) {
        return new EngineIncarnation(PlatformJson.text(body, "incarnation"));
    }

    private static String streamPath(String streamId) {
        return "/v1/streams/" + PlatformJson.segment(streamId);
    }

    private static BasicHttpRequest request(String method, Target target, String path) {
        return new BasicHttpRequest(
                method, new HttpHost("http", target.host(), target.port()), path);
    }
}
