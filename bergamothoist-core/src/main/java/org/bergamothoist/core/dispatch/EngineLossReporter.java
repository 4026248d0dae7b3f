package org.bergamothoist.core.dispatch;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.quarantine.QuarantineController;

/** Reports a lost engine with the fingerprints of all requests that ran on it. */
final class EngineLossReporter {

    private final QuarantineController quarantine;
    private final DispatchObserver observer;

    EngineLossReporter(QuarantineController quarantine, DispatchObserver observer) {
        this.quarantine = quarantine;
        this.observer = observer;
    }

    /** Records that the request does not go on at an engine that is lost or silent. */
    void leaveEngine(RunningCompletion completion, EngineAttempt attempt) {
        observer.onEngineLost(attempt.target(), attempt.incarnation());
        completion.recordLoss(attempt.target().id(), attempt.incarnation());
        completion.excludedTargets().add(attempt.target().id());
    }

    /** Reports the loss; completes once the other daemons know of it or the wait has timed out. */
    CompletionStage<Void> report(
            RunningCompletion completion,
            EngineAttempt attempt,
            Collection<RunningCompletion> runningCompletions) {
        leaveEngine(completion, attempt);
        Set<Fingerprint> suspects = new HashSet<>();
        suspects.add(completion.exchange().fingerprint());
        for (RunningCompletion other : runningCompletions) {
            if (other.wasRunningOn(attempt.target().id(), attempt.incarnation())) {
                suspects.add(other.exchange().fingerprint());
            }
        }
        return quarantine.reportLoss(attempt.target().id(), attempt.incarnation(), suspects);
    }
}
