package org.bergamothoist.daemon.caller;

import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.request.ServiceResponseListener;
import org.bergamothoist.core.request.StreamHandle;
import org.bergamothoist.daemon.http.EndToEndHeaders;
import org.bergamothoist.daemon.http.HeaderNames;

/** Writes the answer of a plain service to its caller. */
final class ServiceAnswer implements ServiceResponseListener {

    private final CallerConnection connection;
    private final DemandControl demand;
    private boolean started;

    ServiceAnswer(CallerConnection connection) {
        this.connection = connection;
        this.demand = new DemandControl(connection);
    }

    /** Connects the answer with its caller. */
    void attach(StreamHandle handle, boolean idempotent) {
        demand.attach(handle, idempotent);
    }

    @Override
    public void onHead(RequestId requestId, int status, Map<String, List<String>> headers) {
        started = true;
        Map<String, List<String>> forwarded = new LinkedHashMap<>(EndToEndHeaders.of(headers));
        forwarded
                .keySet()
                .removeIf(
                        name ->
                                HeaderNames.REQUEST_OUTCOME.equalsIgnoreCase(name)
                                        || HeaderNames.REQUEST_ID.equalsIgnoreCase(name));
        forwarded.put(HeaderNames.REQUEST_ID, List.of(requestId.toString()));
        connection.head(status, forwarded);
    }

    @Override
    public void onBody(ByteBuffer part) {
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        connection.write(bytes);
        demand.delivered();
        demand.replenish();
    }

    @Override
    public void onOutcome(RequestId requestId, Outcome outcome) {
        if (!started) {
            OutcomeAnswer.send(connection, Optional.ofNullable(requestId), outcome);
        } else if (outcome instanceof Outcome.Answered) {
            connection.end();
        } else {
            connection.abort();
        }
    }
}
