package org.bergamothoist.core.dispatch;

import java.time.Duration;
import org.bergamothoist.core.platform.EngineResponseStart;
import org.bergamothoist.core.platform.TargetFailure;
import org.bergamothoist.core.request.CompletionExchange;
import org.bergamothoist.core.stream.ResumeToken;

/**
 * Reports the start of a response to the relay at once, and posts all events of an attempt to the
 * control thread.
 */
final class ControlThreadAttemptListener implements EngineAttempt.Listener {

    private final CompletionDispatcher dispatcher;
    private final RunningCompletion completion;
    private final CompletionDispatcher.Dependencies dependencies;
    private final Duration resumeTokenLifetime;

    ControlThreadAttemptListener(
            CompletionDispatcher dispatcher,
            RunningCompletion completion,
            CompletionDispatcher.Dependencies dependencies,
            Duration resumeTokenLifetime) {
        this.dispatcher = dispatcher;
        this.completion = completion;
        this.dependencies = dependencies;
        this.resumeTokenLifetime = resumeTokenLifetime;
    }

    @Override
    public void onStarted(EngineAttempt attempt, EngineResponseStart start) {
        CompletionExchange exchange = completion.exchange();
        exchange.relay()
                .deliverStart(
                        attempt.number(),
                        start.modelKey(),
                        () -> dependencies.tokenCodec().encode(createResumeToken(attempt, start)));
        dependencies
                .scheduler()
                .execute(
                        () ->
                                dependencies
                                        .observer()
                                        .onResponseStarted(exchange, attempt.target(), start));
    }

    private ResumeToken createResumeToken(EngineAttempt attempt, EngineResponseStart start) {
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
                exchange.relay().pieceOffset(),
                dependencies.clock().instant().plus(resumeTokenLifetime));
    }

    @Override
    public void onFirstToken(EngineAttempt attempt, Duration timeToFirstToken) {
        dependencies
                .scheduler()
                .execute(() -> dispatcher.onFirstToken(completion, attempt, timeToFirstToken));
    }

    @Override
    public void onCompleted(EngineAttempt attempt) {
        dependencies.scheduler().execute(() -> dispatcher.onAttemptCompleted(completion, attempt));
    }

    @Override
    public void onFailed(EngineAttempt attempt, TargetFailure failure) {
        dependencies
                .scheduler()
                .execute(() -> dispatcher.onAttemptFailed(completion, attempt, failure));
    }
}
