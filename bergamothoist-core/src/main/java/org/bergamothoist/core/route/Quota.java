package org.bergamothoist.core.route;

import java.util.OptionalLong;

/**
 * How much an organisation may run, over all daemons.
 *
 * @param unitsPerSecond limit, above 0
 * @param burst units that may run at once beside the limit
 * @param unit what the limit counts
 * @param plainUnits units of a request that states no tokens, if the limit counts tokens
 */
public record Quota(double unitsPerSecond, double burst, Unit unit, double plainUnits) {

    /** What a quota counts. */
    public enum Unit {
        /** Requests. */
        REQUEST,
        /** Prompt tokens and the largest number of output tokens. */
        TOKEN
    }

    public Quota {
        if (!(unitsPerSecond > 0) || !(burst >= 0) || !(plainUnits >= 0)) {
            throw new IllegalArgumentException(
                    "quota is out of range: "
                            + unitsPerSecond
                            + " per second, burst "
                            + burst
                            + ", plain "
                            + plainUnits);
        }
    }

    /**
     * Returns the units of a request.
     *
     * @param tokens prompt and output tokens that the request states, if it does
     */
    public double unitsOf(OptionalLong tokens) {
        if (unit == Unit.REQUEST) {
            return 1;
        }
        return tokens.isPresent() ? tokens.getAsLong() : plainUnits;
    }
}
