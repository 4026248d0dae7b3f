package org.bergamothoist.standin.client;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.ToIntFunction;

/** Compares what the router said with how often the targets ran each request. */
public final class ExecutionAudit {

    private ExecutionAudit() {}

    /**
     * Returns the promises about execution that were broken.
     *
     * @param sendings all that the router said about one request
     * @param executions returns how often all targets together ran a request identifier
     */
    public static List<Violation> check(
            boolean idempotent, List<Sending> sendings, ToIntFunction<String> executions) {
        List<Violation> violations = new ArrayList<>();
        Set<String> requestIds = new LinkedHashSet<>();
        for (Sending sending : sendings) {
            int count = executions.applyAsInt(sending.requestId());
            requestIds.add(sending.requestId());
            if (sending.outcome() == OutcomeKind.NOT_RUN && count > 0) {
                violations.add(
                        new Violation(
                                Violation.Kind.FALSE_NOT_RUN,
                                sending.requestId(),
                                sending.code() + ", ran " + count + " times"));
            }
        }
        int all = requestIds.stream().mapToInt(executions).sum();
        if (!idempotent && all > 1) {
            violations.add(
                    new Violation(
                            Violation.Kind.REPEATED_EXECUTION,
                            String.join(" ", requestIds),
                            "ran " + all + " times"));
        }
        return violations;
    }
}
