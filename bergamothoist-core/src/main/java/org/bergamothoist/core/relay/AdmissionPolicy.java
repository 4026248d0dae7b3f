package org.bergamothoist.core.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.bergamothoist.core.route.Route;
import org.bergamothoist.core.time.Jitter;

/**
 * Decides how long a target's queue may be for a request to be sent there. Under overload a long
 * queue makes every response miss its latency objective; a bounded queue keeps the requests that
 * were sent on time, and the others wait in the daemon, where more urgent ones can overtake them,
 * or are refused at once with the time when to retry.
 */
public final class AdmissionPolicy {

    /**
     * Longest admitted wait as a multiple of the latency objective; the rest of the objective is
     * left for the prefill.
     */
    private static final double MAXIMUM_WAIT_IN_OBJECTIVES = 0.6;

    /** The same for requests of priority 0, which engines serve before the others. */
    private static final double MAXIMUM_URGENT_WAIT_IN_OBJECTIVES = 1.2;

    /**
     * Longest wait of a less urgent kind as a part of that of a more urgent one: the queues that
     * all daemons fill with the one keep room for the other.
     */
    private static final int PARTS_OF_MORE_URGENT_WAIT = 2;

    /**
     * Longest random delay added to the retry time, so that refused callers do not retry all at
     * once.
     */
    private static final Duration RETRY_JITTER = Duration.ofMillis(1_000);

    private final DoubleSupplier random;

    /**
     * Creates a policy.
     *
     * @param random source of random numbers from 0 to 1
     */
    public AdmissionPolicy(DoubleSupplier random) {
        this.random = random;
    }

    /**
     * Returns the longest predicted wait in a target's queue with which a request is sent there.
     * The size of the request itself is ignored, so that large requests do not wait more often.
     *
     * @param priority 0 is the most urgent
     */
    public Duration longestWait(Route route, int priority) {
        double waitInObjectives =
                priority == 0 ? MAXIMUM_URGENT_WAIT_IN_OBJECTIVES : MAXIMUM_WAIT_IN_OBJECTIVES;
        return Duration.ofMillis(
                Math.round(route.latencyObjective().toMillis() * waitInObjectives));
    }

    /**
     * Returns the longest predicted wait of a request at a service that other routes use too. If a
     * less urgent request could wait as long as a more urgent one, it would fill the queues to a
     * length with which the urgent one is not sent, also at other daemons.
     *
     * @param routes all routes
     */
    public Duration longestWait(List<Route> routes, Route route, String service, int priority) {
        return routes.stream()
                .filter(other -> other.priority() < priority && uses(other, service))
                .map(other -> longestWait(other, other.priority()))
                .map(wait -> wait.dividedBy(PARTS_OF_MORE_URGENT_WAIT))
                .reduce(longestWait(route, priority), AdmissionPolicy::shorter);
    }

    /**
     * Returns the time after which the caller of a request that may not wait in the daemon may
     * retry, or empty if the request is sent.
     *
     * @param predictedWait predicted time until the engine starts to process the request
     * @param priority 0 is the most urgent
     */
    public Optional<Duration> retryAfter(Route route, Duration predictedWait, int priority) {
        if (predictedWait.compareTo(longestWait(route, priority)) <= 0) {
            return Optional.empty();
        }
        return Optional.of(Jitter.delay(predictedWait, RETRY_JITTER, random));
    }

    private static boolean uses(Route route, String service) {
        return route.services().stream().anyMatch(each -> each.service().equals(service));
    }

    private static Duration shorter(Duration first, Duration second) {
        return first.compareTo(second) <= 0 ? first : second;
    }
}
