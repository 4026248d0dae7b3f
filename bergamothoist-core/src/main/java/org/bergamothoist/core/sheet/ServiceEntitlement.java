package org.bergamothoist.core.sheet;

import java.util.Objects;

/**
 * Paths of a plain service that an organisation may call.
 *
 * @param service group name of the service's targets
 * @param pathPrefix path prefix, starting with a slash
 * @param nonIdempotent whether calls must not be repeated
 */
public record ServiceEntitlement(String service, String pathPrefix, boolean nonIdempotent) {

    public ServiceEntitlement {
        Objects.requireNonNull(service);
        Objects.requireNonNull(pathPrefix);
    }
}
