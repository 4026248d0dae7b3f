package org.bergamothoist.daemon.adapter;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.platform.CacheStore;

/** Asks the KV cache store over HTTP which blocks it holds. */
public final class HttpCacheStore implements CacheStore {

    private final OutboundHttp http;
    private final URI base;

    /** Creates a client of the store below the base URL. */
    public HttpCacheStore(OutboundHttp http, URI base) {
        this.http = http;
        this.base = base;
    }

    @Override
    public CompletionStage<Integer> storedBlocks(
            OrganisationId organisation, ModelKey key, List<Long> chain) {
        ObjectNode body = PlatformJson.MAPPER.createObjectNode();
        body.put("organisation", organisation.value());
        PlatformJson.put(body, key);
        body.set("block_hashes", PlatformJson.blockHashes(chain));
        BasicHttpRequest request = new BasicHttpRequest("POST", base.resolve("/lookups"));
        return http.control(request, PlatformJson.bytes(body), ContentType.APPLICATION_JSON)
                .thenApply(
                        answer ->
                                answer.require(HttpStatus.SC_OK)
                                        .read(
                                                found ->
                                                        Math.min(
                                                                chain.size(),
                                                                PlatformJson.integer(
                                                                        found, "stored_blocks"))));
    }
}
