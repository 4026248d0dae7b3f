package org.bergamothoist.core.decision;

import java.util.function.Supplier;

/** Writes one structured line for each decision. Never blocks; bounds the volume. */
@FunctionalInterface
public interface DecisionLog {

    /**
     * Writes a line, or counts it as suppressed if too many were written lately.
     *
     * @param subject identifier of the request, target, daemon or dependency concerned
     * @param inputs what decided, with age or version; evaluated only if the line is written
     * @param outcome what was decided
     */
    void write(DecisionKind kind, String subject, Supplier<String> inputs, String outcome);
}
