package org.bergamothoist.core.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.bergamothoist.core.route.Route;
import org.bergamothoist.core.time.Jitter;

/**
 * Decides whether an engine's queue is short enough to admit a request. Under overload a long queue
 * makes every response miss its latency objective; a bounded queue keeps admitted requests on time
 * and tells the callers of the others at once when to retry.
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
     * Returns the time after which a refused caller may retry, or empty if the request is admitted.
     * The size of the request itself is ignored, so that large requests are not refused more often.
     *
     * @param predictedWait predicted time until the engine starts to process the request
     * @param priority 0 is the most urgent
     */
    public Optional<Duration> retryAfter(Route route, Duration predictedWait, int priority) {
        double waitInObjectives =
                priority == 0 ? MAXIMUM_URGENT_WAIT_IN_OBJECTIVES : MAXIMUM_WAIT_IN_OBJECTIVES;
        Duration maximumWait =
                Duration.ofMillis(
                        Math.round(route.latencyObjective().toMillis() * waitInObjectives));
        if (predictedWait.compareTo(maximumWait) <= 0) {
            return Optional.empty();
        }
        return Optional.of(Jitter.delay(predictedWait, RETRY_JITTER, random));
    }
}
