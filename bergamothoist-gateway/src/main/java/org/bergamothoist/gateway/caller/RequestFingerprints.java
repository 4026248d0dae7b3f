package org.bergamothoist.gateway.caller;

import io.netty.buffer.ByteBuf;
import java.util.Set;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.quarantine.FingerprintCalculator;
import org.bergamothoist.core.quarantine.RequestKeys;
import org.bergamothoist.core.route.Organisation;

/** The fingerprints of one request for a service. Confined to the event loop. */
final class RequestFingerprints {

    private final RequestContext request;
    private final String service;
    private final ByteBuf body;
    private RequestKeys keys;

    /**
     * Creates fingerprints that are not computed yet.
     *
     * @param body must not be released before the first use of the keys
     */
    RequestFingerprints(RequestContext request, String service, ByteBuf body) {
        this.request = request;
        this.service = service;
        this.body = body;
    }

    /**
     * Returns the fingerprints of the request's content and of the parts of its prompt; computes
     * them on first use.
     */
    RequestKeys keys() {
        if (keys == null) {
            Fingerprint content =
                    FingerprintCalculator.ofRequest(
                            request.head().method().name(),
                            request.route().host(),
                            request.head().requestTarget(),
                            request.organisation().map(Organisation::name).orElse(""),
                            body.nioBuffer());
            keys = RequestKeys.of(content, service, request.head().sharedParts());
        }
        return keys;
    }

    /** Returns the fingerprints of the parts of the prompt that other requests may share. */
    Set<Fingerprint> parts() {
        return RequestKeys.parts(service, request.head().sharedParts()).keySet();
    }
}
