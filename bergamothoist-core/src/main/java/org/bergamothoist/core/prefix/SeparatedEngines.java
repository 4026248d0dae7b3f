package org.bergamothoist.core.prefix;

import java.util.List;
import java.util.Set;
import org.bergamothoist.core.fleet.OutstandingWork;
import org.bergamothoist.core.fleet.RegisteredTarget;

/**
 * The division of a service's engines between long prompts and urgent streams, as costs in
 * milliseconds.
 *
 * @param forLongPrompts identifiers of the engines that long prompts prefer
 * @param affected identifiers of the engines at which prefill makes inter-event gaps late
 */
record SeparatedEngines(Set<String> forLongPrompts, Set<String> affected) {

    /**
     * Cost of a long prompt at another engine than those for long prompts, as a share of its
     * latency objective: below the wait at which requests are refused, so that long prompts go to
     * other engines first.
     */
    private static final double OUTSIDE_COST = 0.4;

    /**
     * Cost of an urgent stream at an engine for long prompts, as a share of its latency objective.
     * The stream runs for longer than the engine has no long prompt.
     */
    private static final double INSIDE_COST = 0.25;

    /** Returns the engines that a request prefers for its shared parts. */
    List<RegisteredTarget> preferable(List<RegisteredTarget> engines, StreamSeparation.Role role) {
        boolean inside = role == StreamSeparation.Role.LONG_PROMPT;
        List<RegisteredTarget> preferable =
                engines.stream()
                        .filter(
                                engine ->
                                        inside
                                                ? forLongPrompts.contains(engine.id())
                                                : !isAvoidedByStreams(engine))
                        .toList();
        return preferable.isEmpty() ? engines : preferable;
    }

    private boolean isAvoidedByStreams(RegisteredTarget engine) {
        return forLongPrompts.contains(engine.id()) && affected.contains(engine.id());
    }

    /**
     * Returns the cost of a request at an engine: the delay that a long prompt causes to each
     * urgent stream there, or that the outstanding prefill causes to the stream, and that of
     * leaving the division.
     *
     * @param prefillTokens prompt tokens of the request that the engine would compute
     */
    double costMilliseconds(
            StreamSeparation.Role role,
            RegisteredTarget engine,
            OutstandingWork.Totals load,
            int prefillTokens,
            double tokensPerMillisecond,
            RequestTerms terms) {
        if (!affected.contains(engine.id())) {
            return 0;
        }
        double objective = terms.latencyObjective().toMillis();
        boolean inside = forLongPrompts.contains(engine.id());
        if (role == StreamSeparation.Role.LONG_PROMPT) {
            return load.urgentStreams() * prefillTokens / tokensPerMillisecond
                    + (inside ? 0 : OUTSIDE_COST * objective);
        }
        return load.prefillTokens() / tokensPerMillisecond + (inside ? INSIDE_COST * objective : 0);
    }
}
