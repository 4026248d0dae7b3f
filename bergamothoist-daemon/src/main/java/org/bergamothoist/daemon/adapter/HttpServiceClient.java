package org.bergamothoist.daemon.adapter;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletionStage;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.AsyncEntityProducer;
import org.apache.hc.core5.http.nio.entity.BasicAsyncEntityProducer;
import org.bergamothoist.core.platform.ServiceCall;
import org.bergamothoist.core.platform.ServiceClient;
import org.bergamothoist.core.platform.ServiceListener;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetStream;
import org.bergamothoist.daemon.http.EndToEndHeaders;
import org.bergamothoist.daemon.http.HeaderNames;

/** Talks to plain services over HTTP; every answer is passed on, whatever its status. */
public final class HttpServiceClient implements ServiceClient {

    private final OutboundHttp http;

    /** Creates a client that uses the shared connections. */
    public HttpServiceClient(OutboundHttp http) {
        this.http = http;
    }

    @Override
    public TargetStream start(ServiceCall call, ServiceListener listener) {
        BasicHttpRequest request =
                new BasicHttpRequest(
                        call.method(),
                        new HttpHost("http", call.target().host(), call.target().port()),
                        call.pathAndQuery());
        EndToEndHeaders.of(call.headers())
                .forEach((name, values) -> values.forEach(value -> request.addHeader(name, value)));
        request.removeHeaders(HeaderNames.CONTENT_LENGTH);
        request.removeHeaders(HeaderNames.AUTHORIZATION);
        request.setHeader(HeaderNames.REQUEST_ID, call.requestId().toString());
        AsyncEntityProducer entity =
                call.body().length == 0 ? null : new BasicAsyncEntityProducer(call.body(), null);
        ServiceDispatch dispatch = new ServiceDispatch(listener);
        dispatch.running(http.dispatch(request, entity, dispatch));
        return dispatch;
    }

    @Override
    public CompletionStage<Boolean> isListening(Target target) {
        return TcpProbe.isListening(new InetSocketAddress(target.host(), target.port()));
    }
}
