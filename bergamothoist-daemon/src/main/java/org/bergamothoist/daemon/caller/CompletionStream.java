package org.bergamothoist.daemon.caller;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.hc.core5.http.HttpStatus;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.request.CompletionListener;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.request.StreamHandle;
import org.bergamothoist.daemon.http.HeaderNames;

/** Writes a completion to its caller as server-sent events. */
final class CompletionStream implements CompletionListener {

    private final CallerConnection connection;
    private final DemandControl demand;
    private boolean started;

    CompletionStream(CallerConnection connection) {
        this.connection = connection;
        this.demand = new DemandControl(connection);
    }

    /** Connects the stream with its caller. */
    void attach(StreamHandle handle, boolean idempotent) {
        demand.attach(handle, idempotent);
    }

    @Override
    public void onStart(RequestId requestId, ModelKey modelKey, String resumeToken, int nextPiece) {
        started = true;
        connection.head(
                HttpStatus.SC_OK,
                Map.of(
                        "Content-Type",
                        List.of("text/event-stream"),
                        "Cache-Control",
                        List.of("no-store"),
                        HeaderNames.REQUEST_ID,
                        List.of(requestId.toString())));
        ObjectNode data = JsonNodeFactory.instance.objectNode();
        data.put("request_id", requestId.toString());
        data.put("model", modelKey.model());
        data.put("adapter", modelKey.adapter());
        data.put("version", modelKey.version());
        data.put("resume_token", resumeToken);
        data.put("next_piece", nextPiece);
        connection.write(event("start", data));
    }

    @Override
    public void onPiece(int index, String text, int tokens) {
        ObjectNode data = JsonNodeFactory.instance.objectNode();
        data.put("index", index);
        data.put("text", text);
        data.put("tokens", tokens);
        connection.write(event("piece\nid: " + index, data));
        demand.delivered();
        demand.replenish();
    }

    @Override
    public void onOutcome(RequestId requestId, Outcome outcome) {
        Optional<RequestId> id = Optional.ofNullable(requestId);
        if (!started) {
            OutcomeAnswer.send(connection, id, outcome);
            return;
        }
        connection.write(event("outcome", OutcomeAnswer.body(id, outcome)));
        connection.end();
    }

    private static byte[] event(String name, ObjectNode data) {
        return ("event: " + name + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    }
}
