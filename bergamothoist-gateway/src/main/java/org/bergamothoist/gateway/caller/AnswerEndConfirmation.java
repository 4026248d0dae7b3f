package org.bergamothoist.gateway.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.quarantine.BrokenRequest;
import org.bergamothoist.core.time.Scheduler;

/**
 * Finds out whether an answer is whole whose end only that of its connection shows: not if its
 * target has ended with it.
 */
final class AnswerEndConfirmation {

    /** The end of an answer waits for the latency objective divided by this at most. */
    private static final int OBJECTIVE_PARTS = 4;

    private AnswerEndConfirmation() {}

    /**
     * An answer that has ended.
     *
     * @param requestId identifier of its request
     * @param successful whether it shows that a target can run the request
     */
    record Answer(String requestId, boolean successful, Duration latencyObjective) {}

    /**
     * Checks the target of an answer.
     *
     * @param onChecked called once: with false if the target has ended, with true if it has not or
     *     if that could not be found out in time
     */
    static void await(
            ExchangeDependencies dependencies,
            TargetSelector.Selection selection,
            BrokenRequest run,
            Answer answer,
            Consumer<Boolean> onChecked) {
        Instant endedAt = dependencies.clock().instant();
        AtomicBoolean checked = new AtomicBoolean();
        BiConsumer<Boolean, String> once =
                (whole, evidence) -> {
                    if (!checked.getAndSet(true)) {
                        Duration wait = Duration.between(endedAt, dependencies.clock().instant());
                        record(dependencies, selection, answer, whole, evidence, wait);
                        onChecked.accept(whole);
                    }
                };
        Scheduler.Cancellable limit =
                dependencies
                        .scheduler()
                        .schedule(
                                answer.latencyObjective().dividedBy(OBJECTIVE_PARTS),
                                () -> once.accept(true, "time-limit"));
        dependencies
                .crashingContents()
                .onAnswerEndedByClose(
                        selection,
                        run,
                        answer.successful(),
                        finding -> {
                            limit.cancel();
                            once.accept(!finding.isEnded(), finding.toString());
                        });
    }

    private static void record(
            ExchangeDependencies dependencies,
            TargetSelector.Selection selection,
            Answer answer,
            boolean whole,
            String evidence,
            Duration wait) {
        String outcome = whole ? "whole" : "broken";
        dependencies.metrics().countCheckedEnd(outcome, wait);
        dependencies
                .log()
                .write(
                        DecisionKind.ANSWER_END_CHECKED,
                        answer.requestId(),
                        () ->
                                "target="
                                        + selection.target().id()
                                        + " evidence="
                                        + evidence
                                        + " wait="
                                        + wait.toMillis(),
                        outcome);
    }
}
