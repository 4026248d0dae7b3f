package org.bergamothoist.core.sheet;

/**
 * Limits of an organisation over all daemons.
 *
 * @param requestsPerSecond accepted requests a second
 * @param concurrentStreams streams at the same time
 * @param weight share of capacity under contention, at least 1
 */
public record OrganisationLimits(int requestsPerSecond, int concurrentStreams, int weight) {}
