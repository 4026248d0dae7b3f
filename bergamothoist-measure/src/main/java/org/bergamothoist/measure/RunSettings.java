package org.bergamothoist.measure;

import java.time.Duration;

/**
 * What distinguishes one run from another.
 *
 * @param requestsPerSecond rate of arrivals
 * @param perfectCache whether engines hold every full block, for calibration
 * @param eventLossRate share of cache events that are lost
 */
record RunSettings(
        Deployment deployment,
        Scenario scenario,
        PolicyKind policy,
        long seed,
        double requestsPerSecond,
        boolean perfectCache,
        double eventLossRate) {

    /** Time with accelerated prefill in which caches reach the state that the policy leads to. */
    static final Duration WARM_UP = Duration.ofSeconds(15);

    /** Time at normal speed before the measured time. */
    static final Duration SETTLED = Duration.ofSeconds(20);

    /** End of arrivals and of the measured time. */
    static final Duration END = Duration.ofSeconds(80);

    /** End of the run; the last requests are answered or refused by then. */
    static final Duration DRAINED = Duration.ofSeconds(120);

    /** Factor of the prefill rate during the warm-up. */
    static final double WARM_UP_SPEED = 20;

    /** Returns a time within the measured time, from 0 for its start to 1 for its end. */
    static Duration measuredAt(double part) {
        return SETTLED.plusMillis(Math.round(part * END.minus(SETTLED).toMillis()));
    }
}
