package org.bergamothoist.standin.client;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What became of a completion.
 *
 * @param outcome how the last sending ended
 * @param code the router's code of the last sending, empty if there is none
 * @param sendings what the router said, in order; a retry after "not run" has a new identifier
 * @param text text received in order
 * @param timeToFirstToken time from the first sending to the first piece
 * @param resumes how often a lost stream was resumed
 * @param violations broken promises that the caller itself can see
 */
public record CompletionResult(
        CompletionRequest request,
        OutcomeKind outcome,
        String code,
        List<Sending> sendings,
        String text,
        Optional<Duration> timeToFirstToken,
        int resumes,
        List<Violation> violations) {

    public CompletionResult {
        sendings = List.copyOf(sendings);
        violations = List.copyOf(violations);
    }
}
