package org.bergamothoist.core.sheet;

/**
 * Limits of an organisation across all daemons.
 *
 * @param requestsPerSecond maximum rate of accepted requests
 * @param concurrentStreams maximum number of concurrent streams
 * @param weight relative share of the capacity under contention, at least 1
 */
public record OrganisationLimits(int requestsPerSecond, int concurrentStreams, int weight) {}
