package org.bergamothoist.core.quarantine;

import java.time.Duration;

/**
 * A request whose connection its target broke or closed.
 *
 * @param origin route and organisation of the request
 * @param runTime time since it was sent to the target
 */
public record BrokenRequest(RequestKeys keys, String origin, Duration runTime) {}
