package org.bergamothoist.measure.check;

import java.time.Duration;
import java.util.List;

/**
 * A broken property that a run has found.
 *
 * @param seed seed of the run; {@code RandomisedCheck.run(seed, 1, listener)} repeats it
 * @param at virtual time since the start of the run
 * @param trace steps of the shortest plan found that breaks the property, and what happened last
 */
public record Violation(
        Property property, long seed, Duration at, String detail, List<String> trace) {

    public Violation {
        trace = List.copyOf(trace);
    }
}
