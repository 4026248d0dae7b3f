package org.bergamothoist.core.route;

import java.time.Duration;
import java.util.List;

/**
 * Where requests of a host and path prefix go, and under which limits.
 *
 * @param pathPrefix begins and ends with a slash
 * @param timeout longest time that a request may take
 * @param latencyObjective time within which an answer, or a stream's first event, is on time
 * @param priority 0 is the most urgent
 * @param maximumAttempts most targets that may run one request
 * @param allowsAnonymous whether callers need no key
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        Duration timeout,
        Duration latencyObjective,
        int priority,
        List<WeightedService> services,
        int maximumAttempts,
        boolean allowsAnonymous) {

    public Route {
        services = List.copyOf(services);
    }

    /**
     * Returns the service for a draw.
     *
     * @param draw uniformly distributed, at least 0 and below 1
     */
    public String selectService(double draw) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        double point = draw * total;
        for (WeightedService candidate : services) {
            point -= candidate.weight();
            if (point < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
