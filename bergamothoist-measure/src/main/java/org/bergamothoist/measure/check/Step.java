package org.bergamothoist.measure.check;

import java.time.Duration;

/** Something that a run does at a time. A plan remains valid if any of its steps are dropped. */
sealed interface Step {

    /** Returns the time since the start of the run. */
    Duration at();

    /**
     * How a caller behaves.
     *
     * @param twin whether the first sending goes to two daemons at the same instant
     * @param repeatAfter milliseconds after which the same identifier is sent once more although no
     *     answer has come, 0 for never
     * @param slow milliseconds between two parts that the caller takes, 0 for a fast caller
     * @param cancelAfter milliseconds after which the caller cancels, 0 for never
     * @param deadline milliseconds until which the first token must come, 0 for none
     */
    record Behaviour(boolean twin, int repeatAfter, int slow, int cancelAfter, int deadline) {

        static final Behaviour PLAIN = new Behaviour(false, 0, 0, 0, 0);
    }

    /**
     * A caller sends a completion.
     *
     * @param marker text in the prompt, by which content that crashes engines is known
     */
    record Completion(
            Duration at,
            int program,
            int organisation,
            int history,
            int question,
            int maximumTokens,
            boolean idempotent,
            Behaviour behaviour,
            String marker)
            implements Step {}

    /** A caller calls a plain service. */
    record ServiceCall(
            Duration at,
            int program,
            int organisation,
            String method,
            String path,
            boolean idempotent,
            Behaviour behaviour)
            implements Step {}

    /**
     * An operator submits a sheet that changes one organisation.
     *
     * @param variant number that determines the new content
     * @param stale whether the sheet is made from what the office saw last, not from the present
     */
    record Sheet(Duration at, int office, int organisation, int variant, boolean stale)
            implements Step {}

    /**
     * A fault begins, and ends after its length.
     *
     * @param subject number that determines which part it hits
     */
    record Fault(Duration at, FaultKind kind, int subject, Duration length) implements Step {}
}
