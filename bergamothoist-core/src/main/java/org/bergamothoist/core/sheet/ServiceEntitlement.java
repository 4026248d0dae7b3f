package org.bergamothoist.core.sheet;

import java.util.Objects;

/**
 * The permission of an organisation to call a plain service under a path prefix.
 *
 * @param service name of the group that the service's targets form
 * @param pathPrefix path prefix, starting with a slash
 * @param nonIdempotent whether a call must run at most once
 */
public record ServiceEntitlement(String service, String pathPrefix, boolean nonIdempotent) {

    public ServiceEntitlement {
        Objects.requireNonNull(service);
        Objects.requireNonNull(pathPrefix);
    }
}
