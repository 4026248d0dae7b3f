package org.bergamothoist.core.dispatch;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.quarantine.QuarantineController;

/** Reports a lost engine with the contents of all requests that were on it. */
final class EngineLossReporter {

    private final QuarantineController quarantine;
    private final DispatchObserver observer;

    EngineLossReporter(QuarantineController quarantine, DispatchObserver observer) {
        this.quarantine = quarantine;
        this.observer = observer;
    }

    /** Reports the loss; completes when the other daemons know of it or the wait is over. */
    CompletionStage<Void> report(
            RunningCompletion completion,
            EngineAttempt attempt,
            Collection<RunningCompletion> running) {
        observer.onEngineLost(attempt.target(), attempt.incarnation());
        completion.lost(attempt.target().id(), attempt.incarnation());
        completion.excluded().add(attempt.target().id());
        Set<Fingerprint> suspects = new HashSet<>();
        suspects.add(completion.exchange().fingerprint());
        for (RunningCompletion other : running) {
            if (other.wasOn(attempt.target().id(), attempt.incarnation())) {
                suspects.add(other.exchange().fingerprint());
            }
        }
        return quarantine.reportLoss(attempt.target().id(), attempt.incarnation(), suspects);
    }
}
