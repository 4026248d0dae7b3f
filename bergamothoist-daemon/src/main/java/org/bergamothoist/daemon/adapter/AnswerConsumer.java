package org.bergamothoist.daemon.adapter;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.nio.AsyncResponseConsumer;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/** Collects an answer up to a bound. */
final class AnswerConsumer implements AsyncResponseConsumer<OutboundHttp.Answer> {

    private final int bound;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private FutureCallback<OutboundHttp.Answer> callback;

    AnswerConsumer(int bound) {
        this.bound = bound;
    }

    @Override
    public void consumeResponse(
            HttpResponse response,
            EntityDetails entity,
            HttpContext context,
            FutureCallback<OutboundHttp.Answer> resultCallback) {
        status = response.getCode();
        callback = resultCallback;
        if (entity == null) {
            callback.completed(new OutboundHttp.Answer(status, new byte[0]));
        }
    }

    @Override
    public void informationResponse(HttpResponse response, HttpContext context) {
        // Interim answers carry nothing that a control call needs.
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        channel.update(OutboundHttp.READ_AHEAD_BYTES);
    }

    @Override
    public void consume(ByteBuffer source) {
        if (body.size() + source.remaining() > bound) {
            throw new AnswerTooLargeException(bound);
        }
        byte[] part = new byte[source.remaining()];
        source.get(part);
        body.writeBytes(part);
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        callback.completed(new OutboundHttp.Answer(status, body.toByteArray()));
    }

    @Override
    public void failed(Exception cause) {
        // The client reports the failure to the caller of execute.
    }

    @Override
    public void releaseResources() {
        // The collected body is garbage after the call.
    }
}
