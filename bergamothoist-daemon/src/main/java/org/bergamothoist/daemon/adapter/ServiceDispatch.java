package org.bergamothoist.daemon.adapter;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.bergamothoist.core.platform.ServiceListener;
import org.bergamothoist.core.platform.TargetFailure;
import org.bergamothoist.daemon.http.EndToEndHeaders;

/** Reads the answer of one call to a plain service. */
final class ServiceDispatch extends AbstractDispatch {

    /** Largest part of a body that is delivered at once, in bytes. */
    static final int MAXIMUM_PART_BYTES = 8 * 1024;

    private final ServiceListener listener;

    /** Whether only the end of the connection shows the end of the answer. */
    private boolean endsByClose;

    ServiceDispatch(ServiceListener listener) {
        this.listener = listener;
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
    public void consumeResponse(
            HttpResponse response,
            EntityDetails entity,
            HttpContext context,
            FutureCallback<Void> callback) {
        Map<String, List<String>> received = new LinkedHashMap<>();
        for (Header header : response.getHeaders()) {
            received.computeIfAbsent(header.getName(), name -> new ArrayList<>())
                    .add(header.getValue());
        }
        endsByClose =
                !response.containsHeader(HttpHeaders.CONTENT_LENGTH)
                        && !response.containsHeader(HttpHeaders.TRANSFER_ENCODING);
        int status = response.getCode();
        Map<String, List<String>> headers = EndToEndHeaders.of(received);
        deliver(() -> listener.onHead(status, headers));
        if (entity == null) {
            end(listener::onCompleted);
            callback.completed(null);
        }
    }

    @Override
    public void consume(ByteBuffer source) {
        received(source.remaining());
        while (source.hasRemaining()) {
            byte[] part = new byte[Math.min(source.remaining(), MAXIMUM_PART_BYTES)];
            source.get(part);
            deliverCounted(() -> listener.onBody(ByteBuffer.wrap(part)));
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        end(endsByClose ? listener::onCompletedByClose : listener::onCompleted);
    }
}
