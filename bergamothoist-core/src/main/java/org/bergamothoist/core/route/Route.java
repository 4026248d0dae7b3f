package org.bergamothoist.core.route;

import java.time.Duration;
import java.util.List;

/**
 * The services that receive the requests for a host and path prefix, and the limits that apply.
 *
 * @param host host name that a request must have
 * @param pathPrefix path prefix that a request must have; it begins and ends with a slash
 * @param timeout maximum duration of a request
 * @param latencyObjective time within which the response, or the first event of a stream, should
 *     arrive
 * @param longestEventGap longest time between events of a stream that is still on time; zero if it
 *     is not stated
 * @param priority priority of requests, 0 is the most urgent
 * @param services services among which the requests are split by weight
 * @param maximumAttempts maximum number of targets that may run one request
 * @param allowsAnonymous whether requests without a caller key are accepted
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        Duration timeout,
        Duration latencyObjective,
        Duration longestEventGap,
        int priority,
        List<WeightedService> services,
        int maximumAttempts,
        boolean allowsAnonymous) {

    public Route {
        services = List.copyOf(services);
    }

    /**
     * Selects a service at random in proportion to the weights.
     *
     * @param randomFraction uniformly distributed random number from 0 (inclusive) to 1 (exclusive)
     */
    public String selectService(double randomFraction) {
        int totalWeight = services.stream().mapToInt(WeightedService::weight).sum();
        double remaining = randomFraction * totalWeight;
        for (WeightedService candidate : services) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
