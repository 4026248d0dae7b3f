package org.bergamothoist.core.route;

/**
 * A service and its share of a route's traffic.
 *
 * @param weight share of the traffic relative to the weights of the route's other services
 */
public record WeightedService(String service, int weight) {}
