package org.bergamothoist.core.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.bergamothoist.core.route.Route;
import org.bergamothoist.core.time.Jitter;

/**
 * Decides whether an engine's queue is short enough for a request. While callers send more than the
 * engines can do, a long queue makes every answer late; a short one keeps those in time that are
 * admitted, and the others learn at once when to return.
 */
public final class AdmissionPolicy {

    /** Longest wait that is admitted, in latency objectives: leaves time to read the prompt. */
    private static final double LONGEST_WAIT = 0.6;

    /** The same for the most urgent requests, which engines take before the others. */
    private static final double LONGEST_URGENT_WAIT = 1.2;

    /** Range over which returns are spread, so that callers do not come back at once. */
    private static final Duration RETURN_SPREAD = Duration.ofMillis(1_000);

    private final DoubleSupplier random;

    /**
     * Creates a policy.
     *
     * @param random draws numbers from 0 to 1
     */
    public AdmissionPolicy(DoubleSupplier random) {
        this.random = random;
    }

    /**
     * Returns when a refused caller may come back, or empty if the request is admitted. A request's
     * own size plays no part, so that large requests are not refused more often.
     *
     * @param wait predicted time until the engine begins with the request
     * @param priority 0 is the most urgent
     */
    public Optional<Duration> returnAfter(Route route, Duration wait, int priority) {
        double objectives = priority == 0 ? LONGEST_URGENT_WAIT : LONGEST_WAIT;
        Duration longest =
                Duration.ofMillis(Math.round(route.latencyObjective().toMillis() * objectives));
        if (wait.compareTo(longest) <= 0) {
            return Optional.empty();
        }
        return Optional.of(Jitter.delay(wait, RETURN_SPREAD, random));
    }
}
