package org.bergamothoist.core.route;

import java.time.Duration;

/**
 * Bounds on what a caller may send and how long it may stay idle.
 *
 * @param headerBytes size of a request's header section
 * @param bodyBytes size of a request's body
 * @param headerTimeout time from the first byte of a request to the end of its header section
 * @param idleTimeout time without any byte from the caller
 */
public record CallerLimits(
        int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {}
