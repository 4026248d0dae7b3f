package org.bergamothoist.core.route;

import java.time.Duration;

/**
 * Limits on the size of callers' requests and on idle connections.
 *
 * @param headerBytes maximum size of a request's header section in bytes
 * @param bodyBytes maximum size of a request's body in bytes
 * @param headerTimeout maximum time from the first byte of a request to the end of its header
 *     section
 * @param idleTimeout maximum time without any byte from the caller
 */
public record CallerLimits(
        int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {}
