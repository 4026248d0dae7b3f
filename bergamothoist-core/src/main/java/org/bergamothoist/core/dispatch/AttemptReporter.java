package org.bergamothoist.core.dispatch;

import java.time.Duration;
import org.bergamothoist.core.platform.EngineResponseStart;
import org.bergamothoist.core.platform.TargetFailure;
import org.bergamothoist.core.request.CompletionExchange;
import org.bergamothoist.core.stream.ResumeToken;

/** Posts what happens to an attempt to the control thread. */
final class AttemptReporter implements EngineAttempt.Handler {

    private final CompletionDispatcher dispatcher;
    private final RunningCompletion completion;
    private final CompletionDispatcher.Parts parts;
    private final Duration tokenLifetime;

    AttemptReporter(
            CompletionDispatcher dispatcher,
            RunningCompletion completion,
            CompletionDispatcher.Parts parts,
            Duration tokenLifetime) {
        this.dispatcher = dispatcher;
        this.completion = completion;
        this.parts = parts;
        this.tokenLifetime = tokenLifetime;
    }

    @Override
    public void onStarted(EngineAttempt attempt, EngineResponseStart start) {
        CompletionExchange exchange = completion.exchange();
        exchange.relay()
                .started(
                        attempt.number(),
                        start.modelKey(),
                        () -> parts.tokenCodec().encode(token(attempt, start)));
        parts.scheduler()
                .execute(() -> parts.observer().onAnswerStarted(exchange, attempt.target(), start));
    }

    private ResumeToken token(EngineAttempt attempt, EngineResponseStart start) {
        CompletionExchange exchange = completion.exchange();
        return new ResumeToken(
                exchange.organisationId(),
                exchange.id(),
                exchange.fingerprint(),
                attempt.target().id(),
                start.incarnation(),
                start.streamId(),
                start.modelKey(),
                exchange.idempotent(),
                exchange.relay().basePiece(),
                parts.clock().instant().plus(tokenLifetime));
    }

    @Override
    public void onFirstPiece(EngineAttempt attempt, Duration sinceDispatch) {
        parts.scheduler().execute(() -> dispatcher.firstPiece(completion, attempt, sinceDispatch));
    }

    @Override
    public void onCompleted(EngineAttempt attempt) {
        parts.scheduler().execute(() -> dispatcher.succeeded(completion, attempt));
    }

    @Override
    public void onFailed(EngineAttempt attempt, TargetFailure failure) {
        parts.scheduler().execute(() -> dispatcher.failed(completion, attempt, failure));
    }
}
