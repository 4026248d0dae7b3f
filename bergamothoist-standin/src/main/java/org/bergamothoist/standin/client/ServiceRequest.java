package org.bergamothoist.standin.client;

/**
 * A call to a plain service.
 *
 * @param service name of the service's group
 * @param path path at the service, without a leading slash
 */
public record ServiceRequest(
        String service, String path, String method, byte[] body, boolean idempotent) {}
