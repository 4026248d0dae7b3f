package org.bergamothoist.core.decision;

import java.util.function.Supplier;

/** Writes one structured line for each decision, without blocking, at a limited rate. */
@FunctionalInterface
public interface DecisionLog {

    /**
     * Writes a line, or counts it as suppressed if the rate limit is exceeded.
     *
     * @param subject identifier of the request, target, daemon or dependency concerned
     * @param inputs data that the decision is based on, with its age or version; evaluated only if
     *     the line is written
     * @param outcome the decision
     */
    void write(DecisionKind kind, String subject, Supplier<String> inputs, String outcome);
}
