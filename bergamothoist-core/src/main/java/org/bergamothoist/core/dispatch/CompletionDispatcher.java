package org.bergamothoist.core.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.limit.HedgePolicy;
import org.bergamothoist.core.platform.EngineCall;
import org.bergamothoist.core.platform.EngineClient;
import org.bergamothoist.core.platform.EngineResume;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetFailure;
import org.bergamothoist.core.platform.TargetStream;
import org.bergamothoist.core.prompt.BlockHasher;
import org.bergamothoist.core.quarantine.QuarantineController;
import org.bergamothoist.core.request.CompletionExchange;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.request.RequestFilter;
import org.bergamothoist.core.stream.ResumeToken;
import org.bergamothoist.core.stream.ResumeTokenCodec;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.core.timeline.EventKind;
import org.bergamothoist.core.timeline.Timeline;

/**
 * Last filter of the completion chain: sends completions to engines, retries them where that is
 * safe, and continues broken streams on another engine. Confined to the control thread.
 */
public final class CompletionDispatcher implements RequestFilter<CompletionExchange> {

    private static final Duration ENGINE_POLL_INTERVAL = Duration.ofMillis(50);

    private final Dependencies dependencies;
    private final DispatchSettings settings;
    private final Set<RunningCompletion> runningCompletions = new LinkedHashSet<>();
    private final SuspectIsolation isolation;
    private final EngineLossReporter lossReporter;

    /** Creates a dispatcher. */
    public CompletionDispatcher(Dependencies dependencies, DispatchSettings settings) {
        this.dependencies = dependencies;
        this.settings = settings;
        this.isolation = new SuspectIsolation(dependencies.reservation());
        this.lossReporter =
                new EngineLossReporter(dependencies.quarantine(), dependencies.observer());
    }

    /** The collaborators of the dispatcher. */
    public record Dependencies(
            EngineClient engineClient,
            EngineChooser chooser,
            TargetLookup targets,
            EngineLossDetector lossDetector,
            QuarantineController quarantine,
            TargetReservation reservation,
            RetryPermit retryPermit,
            HedgePolicy hedgePolicy,
            DispatchObserver observer,
            ResumeTokenCodec tokenCodec,
            Scheduler scheduler,
            InstantSource clock,
            Timeline timeline) {}

    /** Looks up targets by identifier. */
    @FunctionalInterface
    public interface TargetLookup {

        /** Returns the target, or empty if it is unknown. */
        Optional<Target> find(TargetId id);
    }

    @Override
    public void apply(CompletionExchange exchange, Runnable proceed) {
        RunningCompletion completion =
                new RunningCompletion(exchange, dependencies.clock().instant());
        runningCompletions.add(completion);
        exchange.onFinish(outcome -> onRequestFinished(completion));
        if (exchange.resumePoint().isPresent()) {
            resume(completion, exchange.resumePoint().get());
            return;
        }
        dispatch(completion);
    }

    /** Returns whether an engine runs, or is reserved for, a suspect request of any daemon. */
    public boolean runsSuspect(TargetId target) {
        return isolation.runsSuspect(target);
    }

    private void dispatch(RunningCompletion completion) {
        CompletionExchange exchange = completion.exchange();
        if (exchange.finished()) {
            return;
        }
        if (deadlinePassed(exchange)) {
            exchange.fail(
                    ErrorCode.DEADLINE_UNREACHABLE,
                    "the deadline passed before an engine started to respond");
            return;
        }
        if (completion.attempts() >= settings.maximumAttempts()) {
            exchange.fail(
                    ErrorCode.TARGET_FAILED,
                    "all " + completion.attempts() + " attempts to run the request failed");
            return;
        }
        boolean suspect = dependencies.quarantine().isSuspect(exchange.fingerprint());
        Optional<EngineChoice> choice =
                dependencies
                        .chooser()
                        .choose(exchange, Set.copyOf(completion.excludedTargets()), suspect);
        if (choice.isEmpty()) {
            waitForEngine(completion);
            return;
        }
        if (suspect) {
            TargetId target = choice.get().target().id();
            completion.setSuspectTarget(target);
            isolation
                    .reserve(target)
                    .thenAccept(granted -> afterReservation(completion, choice.get(), granted));
        } else {
            send(completion, choice.get());
        }
    }

    private void afterReservation(
            RunningCompletion completion, EngineChoice choice, boolean granted) {
        if (completion.exchange().finished()) {
            isolation.releaseIfUnused(choice.target().id());
            return;
        }
        Optional<EngineChoice> confirmed =
                dependencies
                        .chooser()
                        .confirm(completion.exchange(), choice)
                        .filter(stillAccepting -> granted);
        if (confirmed.isPresent()) {
            send(completion, confirmed.get());
            return;
        }
        releaseSuspect(completion);
        dependencies.scheduler().schedule(ENGINE_POLL_INTERVAL, () -> dispatch(completion));
    }

    private void releaseSuspect(RunningCompletion completion) {
        completion.takeSuspectTarget().ifPresent(isolation::release);
    }

    private boolean deadlinePassed(CompletionExchange exchange) {
        return exchange.relay().nextPiece() == 0
                && exchange.deadline()
                        .map(deadline -> !dependencies.clock().instant().isBefore(deadline))
                        .orElse(false);
    }

    private void waitForEngine(RunningCompletion completion) {
        Instant waitDeadline = completion.startedAt().plus(settings.engineWaitTimeout());
        if (!dependencies.clock().instant().isBefore(waitDeadline)) {
            completion
                    .exchange()
                    .fail(
                            ErrorCode.NO_TARGET,
                            "no engine with model "
                                    + completion.exchange().modelKey()
                                    + " accepts the request after "
                                    + settings.engineWaitTimeout().toSeconds()
                                    + " s");
            return;
        }
        // Engines that failed earlier may have recovered; the attempt limit still bounds the
        // retries.
        completion.excludedTargets().clear();
        dependencies.scheduler().schedule(ENGINE_POLL_INTERVAL, () -> dispatch(completion));
    }

    private void send(RunningCompletion completion, EngineChoice choice) {
        CompletionExchange exchange = completion.exchange();
        int remaining = exchange.submission().maximumTokens() - exchange.relay().deliveredTokens();
        int number = exchange.relay().beginAttempt();
        EngineAttempt attempt = newAttempt(completion, choice, number, false);
        if (remaining <= 0) {
            exchange.relay().complete(number);
            exchange.finish(new Outcome.Answered());
            return;
        }
        completion.startAttempt(attempt);
        recordDispatch(completion, choice, attempt);
        start(exchange, choice, attempt, remaining);
        if (!dependencies.quarantine().isSuspect(exchange.fingerprint())
                && exchange.retryable()
                && exchange.relay().nextPiece() == 0) {
            dependencies
                    .hedgePolicy()
                    .hedgeDelay(true)
                    .ifPresent(
                            delay ->
                                    dependencies
                                            .scheduler()
                                            .schedule(
                                                    delay,
                                                    () -> startHedgeIfSlow(completion, attempt)));
        }
    }

    private void start(
            CompletionExchange exchange,
            EngineChoice choice,
            EngineAttempt attempt,
            int remainingTokens) {
        EngineCall call =
                new EngineCall(
                        choice.target(),
                        exchange.id(),
                        attempt.number(),
                        exchange.organisationId(),
                        exchange.modelKey(),
                        exchange.submission().prompt(),
                        exchange.hashChain(),
                        exchange.relay().deliveredText(),
                        remainingTokens,
                        exchange.priority(),
                        cacheSalt(exchange));
        TargetStream stream = dependencies.engineClient().start(call, attempt);
        exchange.relay().attach(attempt.number(), stream);
    }

    /** Starts a hedge on another engine if the attempt has not delivered its first token yet. */
    private void startHedgeIfSlow(RunningCompletion completion, EngineAttempt original) {
        CompletionExchange exchange = completion.exchange();
        boolean hedgeUseful =
                !exchange.finished()
                        && completion.currentAttempt() == original
                        && completion.hedgeAttempt() == null
                        && !original.firstTokenSeen()
                        && completion.attempts() < settings.maximumAttempts();
        if (!hedgeUseful) {
            return;
        }
        Set<TargetId> excluded = new HashSet<>(completion.excludedTargets());
        excluded.add(original.target().id());
        Optional<EngineChoice> choice = dependencies.chooser().choose(exchange, excluded, false);
        if (choice.isEmpty() || !dependencies.hedgePolicy().tryHedge(true, false)) {
            return;
        }
        int number = exchange.relay().beginHedge();
        EngineAttempt attempt = newAttempt(completion, choice.get(), number, false);
        completion.startHedge(attempt);
        recordDispatch(completion, choice.get(), attempt);
        start(exchange, choice.get(), attempt, exchange.submission().maximumTokens());
    }

    private static String cacheSalt(CompletionExchange exchange) {
        return Long.toHexString(BlockHasher.seed(exchange.organisationId(), exchange.modelKey()));
    }

    private void recordDispatch(
            RunningCompletion completion, EngineChoice choice, EngineAttempt attempt) {
        CompletionExchange exchange = completion.exchange();
        exchange.attemptStarted();
        dependencies.observer().onDispatched(exchange, choice);
        String detail =
                choice.target().id()
                        + " attempt "
                        + attempt.number()
                        + " predicts "
                        + choice.predictedCachedBlocks()
                        + " blocks of incarnation "
                        + choice.incarnation();
        dependencies
                .timeline()
                .record(EventKind.REQUEST_DISPATCHED, exchange.id().toString(), detail);
    }

    private void resume(RunningCompletion completion, CompletionExchange.ResumePoint point) {
        CompletionExchange exchange = completion.exchange();
        ResumeToken token = point.token();
        // The engine already has the request, so the outcome can no longer be "not run".
        exchange.resumptionStarted();
        exchange.relay().continueFrom(point.nextPiece(), point.deliveredText().orElse(""));
        Optional<Target> target = dependencies.targets().find(token.target());
        if (target.isEmpty() || point.nextPiece() < token.pieceOffset()) {
            continueOnAnotherEngine(completion);
            return;
        }
        EngineChoice choice = new EngineChoice(target.get(), token.incarnation(), 0, false);
        int number = exchange.relay().beginAttempt(token.pieceOffset());
        EngineAttempt attempt = newAttempt(completion, choice, number, true);
        completion.startAttempt(attempt);
        exchange.resumptionStarted();
        dependencies.observer().onResumed(exchange, target.get());
        dependencies
                .timeline()
                .record(
                        EventKind.STREAM_RESUMED,
                        exchange.id().toString(),
                        target.get().id() + " from piece " + point.nextPiece());
        TargetStream stream =
                dependencies
                        .engineClient()
                        .resume(
                                new EngineResume(
                                        target.get(),
                                        token.incarnation(),
                                        token.streamId(),
                                        exchange.organisationId(),
                                        point.nextPiece() - token.pieceOffset()),
                                attempt);
        exchange.relay().attach(number, stream);
    }

    private void continueOnAnotherEngine(RunningCompletion completion) {
        CompletionExchange exchange = completion.exchange();
        boolean deliveredTextKnown =
                exchange.relay().nextPiece() == 0 || !exchange.relay().deliveredText().isEmpty();
        if (!exchange.retryable() || !deliveredTextKnown) {
            exchange.finish(
                    new Outcome.Unknown(
                            ErrorCode.STREAM_LOST, "the engine no longer has the stream"));
            return;
        }
        dependencies
                .timeline()
                .record(
                        EventKind.STREAM_CONTINUED,
                        exchange.id().toString(),
                        "from piece " + exchange.relay().nextPiece());
        dispatch(completion);
    }

    private EngineAttempt newAttempt(
            RunningCompletion completion, EngineChoice choice, int number, boolean resumesStream) {
        return new EngineAttempt(
                choice,
                number,
                completion.exchange().modelKey(),
                completion.exchange().relay(),
                new ControlThreadAttemptListener(
                        this, completion, dependencies, settings.resumeTokenLifetime()),
                dependencies.clock(),
                resumesStream);
    }

    void onFirstToken(
            RunningCompletion completion, EngineAttempt attempt, Duration timeToFirstToken) {
        if (!completion.isActive(attempt)) {
            return;
        }
        endLosingAttempt(completion, attempt);
        dependencies.hedgePolicy().onFirstToken(timeToFirstToken);
        dependencies
                .observer()
                .onFirstToken(completion.exchange(), attempt.target(), timeToFirstToken);
    }

    void onAttemptCompleted(RunningCompletion completion, EngineAttempt attempt) {
        if (!completion.isActive(attempt)) {
            return;
        }
        endLosingAttempt(completion, attempt);
        if (completion.hasSeenEngineLoss()) {
            dependencies.quarantine().onCompleted(List.of(completion.exchange().fingerprint()));
        }
        completion.exchange().finish(new Outcome.Answered());
    }

    void onAttemptFailed(
            RunningCompletion completion, EngineAttempt attempt, TargetFailure failure) {
        if (!completion.isActive(attempt) || completion.exchange().finished()) {
            return;
        }
        if (completion.hedgeAttempt() != null) {
            onHedgedAttemptFailed(completion, attempt, failure);
            return;
        }
        completion.exchange().relay().cancelAttempts();
        endAttempt(completion, attempt);
        switch (failure.kind()) {
            case NOT_SENT -> onNotSent(completion, attempt);
            case REFUSED -> onRefused(completion, attempt, failure);
            case STREAM_UNKNOWN -> continueOnAnotherEngine(completion);
            case BROKEN -> onConnectionBroken(completion, attempt, failure);
            case FAILED -> retry(completion, attempt, failure.message());
            default ->
                    throw new IllegalStateException(
                            "unexpected kind of failure: " + failure.kind());
        }
    }

    /** Continues with the other attempt; if the connection broke, the engine is probed for loss. */
    private void onHedgedAttemptFailed(
            RunningCompletion completion, EngineAttempt attempt, TargetFailure failure) {
        CompletionExchange exchange = completion.exchange();
        exchange.relay().removeFailedAttempt(attempt.number());
        endAttempt(completion, attempt);
        completion.excludedTargets().add(attempt.target().id());
        if (failure.kind() == TargetFailure.Kind.NOT_SENT) {
            exchange.attemptNotSent();
            dependencies.observer().onConnectionFailed(attempt.target());
        } else if (failure.kind() == TargetFailure.Kind.BROKEN) {
            dependencies
                    .lossDetector()
                    .probe(attempt.target(), attempt.incarnation())
                    .thenAccept(
                            result -> {
                                if (result == EngineLossDetector.ProbeResult.LOST) {
                                    lossReporter.report(completion, attempt, runningCompletions);
                                }
                            });
        }
    }

    private void onNotSent(RunningCompletion completion, EngineAttempt attempt) {
        completion.exchange().attemptNotSent();
        completion.excludedTargets().add(attempt.target().id());
        dependencies.observer().onConnectionFailed(attempt.target());
        if (attempt.resumesStream()) {
            continueOnAnotherEngine(completion);
            return;
        }
        dispatch(completion);
    }

    private void onRefused(
            RunningCompletion completion, EngineAttempt attempt, TargetFailure failure) {
        dependencies.observer().onRefused(attempt.target());
        retry(completion, attempt, failure.message());
    }

    private void onConnectionBroken(
            RunningCompletion completion, EngineAttempt attempt, TargetFailure failure) {
        completion.recordPossibleLoss(attempt);
        dependencies
                .lossDetector()
                .probe(attempt.target(), attempt.incarnation())
                .thenAccept(
                        result -> {
                            switch (result) {
                                case LOST -> onEngineLost(completion, attempt);
                                case SILENT -> onEngineSilent(completion, attempt);
                                default -> retry(completion, attempt, failure.message());
                            }
                        });
    }

    /**
     * Reports the loss with the fingerprints of all requests that ran on the engine, then continues
     * this request.
     */
    private void onEngineLost(RunningCompletion completion, EngineAttempt attempt) {
        CompletionExchange exchange = completion.exchange();
        if (exchange.finished()) {
            return;
        }
        lossReporter
                .report(completion, attempt, runningCompletions)
                .thenAccept(done -> continueAfterLoss(completion));
    }

    /** Goes on like after a loss, but makes no content suspect: the engine may only stand still. */
    private void onEngineSilent(RunningCompletion completion, EngineAttempt attempt) {
        if (!completion.exchange().finished()) {
            lossReporter.leaveEngine(completion, attempt);
            continueAfterLoss(completion);
        }
    }

    private void continueAfterLoss(RunningCompletion completion) {
        CompletionExchange exchange = completion.exchange();
        if (exchange.finished()) {
            return;
        }
        if (dependencies.quarantine().isQuarantined(exchange.fingerprint())) {
            dependencies
                    .timeline()
                    .record(
                            EventKind.REQUEST_QUARANTINED,
                            exchange.id().toString(),
                            exchange.fingerprint().hexadecimal());
            exchange.finish(
                    new Outcome.Unknown(
                            ErrorCode.REQUEST_QUARANTINED,
                            "engines were lost while they ran this content"));
            return;
        }
        if (!exchange.retryable()) {
            exchange.finish(new Outcome.Unknown(ErrorCode.TARGET_FAILED, "the engine was lost"));
            return;
        }
        // Not taken from the retry budget: engines are lost rarely, and the requests that ran on
        // the lost engine bound the number of these retries.
        continueOnAnotherEngine(completion);
    }

    private void retry(RunningCompletion completion, EngineAttempt attempt, String reason) {
        CompletionExchange exchange = completion.exchange();
        if (exchange.finished()) {
            return;
        }
        completion.excludedTargets().add(attempt.target().id());
        if (!exchange.retryable()) {
            exchange.finish(new Outcome.Unknown(ErrorCode.TARGET_FAILED, reason));
            return;
        }
        if (!dependencies.retryPermit().tryAcquire()) {
            exchange.finish(new Outcome.Unknown(ErrorCode.RETRY_BUDGET_EXHAUSTED, reason));
            return;
        }
        continueOnAnotherEngine(completion);
    }

    private void endAttempt(RunningCompletion completion, EngineAttempt attempt) {
        if (!completion.isActive(attempt)) {
            return;
        }
        completion.endAttempt(attempt);
        releaseSuspect(completion);
        dependencies.observer().onAttemptEnded(completion.exchange(), attempt.target());
    }

    /** Ends the losing attempt of a hedged request and counts its tokens as wasted. */
    private void endLosingAttempt(RunningCompletion completion, EngineAttempt winner) {
        EngineAttempt loser =
                completion.currentAttempt() == winner
                        ? completion.hedgeAttempt()
                        : completion.currentAttempt();
        if (loser == null || loser == winner) {
            return;
        }
        endAttempt(completion, loser);
        dependencies.hedgePolicy().addWastedTokens(completion.exchange().estimatedTokens());
    }

    private void onRequestFinished(RunningCompletion completion) {
        endAttempt(completion, completion.hedgeAttempt());
        endAttempt(completion, completion.currentAttempt());
        releaseSuspect(completion);
        runningCompletions.remove(completion);
    }

    /** Fails attempts that make no progress; to be called about once a second. */
    public void failStalledAttempts() {
        for (RunningCompletion completion : List.copyOf(runningCompletions)) {
            if (completion.exchange().relay().hasDemand()) {
                failIfStalled(completion, completion.hedgeAttempt());
                failIfStalled(completion, completion.currentAttempt());
            }
        }
    }

    private void failIfStalled(RunningCompletion completion, EngineAttempt attempt) {
        if (attempt == null) {
            return;
        }
        Duration limit =
                attempt.firstTokenSeen() ? settings.stallTimeout() : settings.firstTokenTimeout();
        if (attempt.timeSinceProgress().compareTo(limit) > 0) {
            onAttemptFailed(
                    completion,
                    attempt,
                    new TargetFailure(
                            TargetFailure.Kind.BROKEN,
                            "the engine made no progress for more than "
                                    + limit.toMillis()
                                    + " ms"));
        }
    }
}
