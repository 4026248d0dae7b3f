package org.bergamothoist.core.route;

/**
 * A service's part of a route's traffic.
 *
 * @param weight share relative to the weights of the route's other services
 */
public record WeightedService(String service, int weight) {}
