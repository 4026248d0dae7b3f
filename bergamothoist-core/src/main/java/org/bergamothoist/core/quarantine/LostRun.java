package org.bergamothoist.core.quarantine;

import java.time.Instant;

/**
 * A request that a target was running when it was lost.
 *
 * @param origin route and organisation of the request
 * @param sentAt when it was sent to the target
 * @param brokenAt when its connection broke
 */
public record LostRun(String origin, Instant sentAt, Instant brokenAt) {}
