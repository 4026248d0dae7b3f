package org.bergamothoist.core.quota;

import java.time.Duration;
import org.bergamothoist.core.route.Quota;

/**
 * What may run beyond a quota: in any window at most (limit × window + burst) × (1 + overage) +
 * slack, over all daemons.
 *
 * @param window length of the window; zero if nothing may run beyond a quota
 * @param overage share of the limit and burst, from 0
 * @param slack units of any quota
 */
public record QuotaBounds(Duration window, double overage, double slack) {

    /** Nothing may run beyond a quota. */
    public static final QuotaBounds STRICT = new QuotaBounds(Duration.ZERO, 0, 0);

    /** Most by which the limit is raised, as a part of the excess: rates are not known exactly. */
    private static final double RAISE_PART = 0.1;

    /** Most by which the limit is raised, as a share of it. */
    private static final double MAXIMUM_RAISE = 0.02;

    /**
     * Part of the remaining excess that is added to the burst. The rest covers the time until
     * daemons notice that they do not hear each other.
     */
    private static final double CREDIT_PART = 0.5;

    private static final double MILLISECONDS_PER_SECOND = 1000.0;

    private double seconds() {
        return window.toMillis() / MILLISECONDS_PER_SECOND;
    }

    /** Returns the units that may run beyond the quota in a window. */
    double excess(Quota quota) {
        return window.isZero()
                ? 0
                : overage * (quota.unitsPerSecond() * seconds() + quota.burst()) + slack;
    }

    private double raise(Quota quota) {
        return window.isZero()
                ? 0
                : Math.min(
                        RAISE_PART * excess(quota) / seconds(),
                        MAXIMUM_RAISE * quota.unitsPerSecond());
    }

    /** Returns the units per second that all daemons together may run for long. */
    double fillPerSecond(Quota quota) {
        return quota.unitsPerSecond() + raise(quota);
    }

    /** Returns the units that all daemons together may run at once. */
    double capacity(Quota quota) {
        return quota.burst() + CREDIT_PART * (excess(quota) - raise(quota) * seconds());
    }
}
