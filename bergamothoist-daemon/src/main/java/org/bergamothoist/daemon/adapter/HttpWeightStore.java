package org.bergamothoist.daemon.adapter;

import java.net.URI;
import java.util.concurrent.CompletionStage;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.platform.WeightStore;

/** Asks the weight store over HTTP which weights exist. */
public final class HttpWeightStore implements WeightStore {

    private final OutboundHttp http;
    private final URI base;

    /** Creates a client of the store below the base URL. */
    public HttpWeightStore(OutboundHttp http, URI base) {
        this.http = http;
        this.base = base;
    }

    @Override
    public CompletionStage<Boolean> contains(ModelKey key) {
        String path =
                "/weights/"
                        + PlatformJson.segment(key.model())
                        + "/"
                        + PlatformJson.segment(key.adapter())
                        + "/"
                        + PlatformJson.segment(key.version());
        return http.control(new BasicHttpRequest("HEAD", base.resolve(path)), null, null)
                .thenApply(
                        answer -> {
                            if (answer.status() == HttpStatus.SC_NOT_FOUND) {
                                return false;
                            }
                            answer.require(HttpStatus.SC_OK);
                            return true;
                        });
    }
}
