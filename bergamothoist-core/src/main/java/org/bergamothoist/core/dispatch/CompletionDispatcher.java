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
import org.bergamothoist.core.platform.EngineStream;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetFailure;
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
 * The last filter of the chain for completions: sends them to engines, retries where that is safe,
 * and continues broken streams. Confined to the control thread.
 */
public final class CompletionDispatcher implements RequestFilter<CompletionExchange> {

    private static final Duration WAIT_STEP = Duration.ofMillis(50);

    private final Parts parts;
    private final DispatchSettings settings;
    private final Set<RunningCompletion> running = new LinkedHashSet<>();
    private final SuspectIsolation isolation;
    private final EngineLossReporter lossReporter;

    /** Creates a dispatcher. */
    public CompletionDispatcher(Parts parts, DispatchSettings settings) {
        this.parts = parts;
        this.settings = settings;
        this.isolation = new SuspectIsolation(parts.reservation());
        this.lossReporter = new EngineLossReporter(parts.quarantine(), parts.observer());
    }

    /** What the dispatcher works with. */
    public record Parts(
            EngineClient engineClient,
            EngineChooser chooser,
            TargetLookup targets,
            EngineLossDetector lossDetector,
            QuarantineController quarantine,
            EngineReservation reservation,
            RetryPermit retryPermit,
            HedgePolicy hedgePolicy,
            DispatchObserver observer,
            ResumeTokenCodec tokenCodec,
            Scheduler scheduler,
            InstantSource clock,
            Timeline timeline) {}

    /** Finds a target by its identifier. */
    @FunctionalInterface
    public interface TargetLookup {

        /** Returns the target if it is known. */
        Optional<Target> find(TargetId id);
    }

    @Override
    public void apply(CompletionExchange exchange, Runnable proceed) {
        RunningCompletion completion = new RunningCompletion(exchange, parts.clock().instant());
        running.add(completion);
        exchange.onFinish(outcome -> ended(completion));
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
            exchange.fail(ErrorCode.DEADLINE_UNREACHABLE, "the deadline passed before an engine");
            return;
        }
        if (completion.attempts() >= settings.maximumAttempts()) {
            exchange.fail(ErrorCode.TARGET_FAILED, "too many engines failed for this request");
            return;
        }
        boolean suspect = parts.quarantine().isSuspect(exchange.fingerprint());
        Optional<EngineChoice> choice =
                parts.chooser().choose(exchange, Set.copyOf(completion.excluded()), suspect);
        if (choice.isEmpty()) {
            waitForEngine(completion);
            return;
        }
        if (suspect) {
            isolation
                    .occupy(completion, choice.get().target().id())
                    .thenAccept(granted -> reserved(completion, choice.get(), granted));
        } else {
            send(completion, choice.get());
        }
    }

    private void reserved(RunningCompletion completion, EngineChoice choice, boolean granted) {
        if (completion.exchange().finished()) {
            isolation.freeUnused(choice.target().id());
            return;
        }
        Optional<EngineChoice> confirmed =
                parts.chooser().confirm(completion.exchange(), choice).filter(kept -> granted);
        if (confirmed.isPresent()) {
            send(completion, confirmed.get());
            return;
        }
        isolation.free(completion);
        parts.scheduler().schedule(WAIT_STEP, () -> dispatch(completion));
    }

    private boolean deadlinePassed(CompletionExchange exchange) {
        return exchange.relay().nextPiece() == 0
                && exchange.deadline()
                        .map(deadline -> !parts.clock().instant().isBefore(deadline))
                        .orElse(false);
    }

    private void waitForEngine(RunningCompletion completion) {
        Instant giveUp = completion.startedAt().plus(settings.waitForEngine());
        if (!parts.clock().instant().isBefore(giveUp)) {
            completion
                    .exchange()
                    .fail(ErrorCode.NO_TARGET, "no engine with the model accepts the request");
            return;
        }
        // Engines that failed once may have come back; the attempt limit still bounds the retries.
        completion.excluded().clear();
        parts.scheduler().schedule(WAIT_STEP, () -> dispatch(completion));
    }

    private void send(RunningCompletion completion, EngineChoice choice) {
        CompletionExchange exchange = completion.exchange();
        int remaining = exchange.submission().maximumTokens() - exchange.relay().deliveredTokens();
        int number = exchange.relay().beginAttempt();
        EngineAttempt attempt = newAttempt(completion, choice, number, false);
        if (remaining <= 0) {
            exchange.relay().completed(number);
            exchange.finish(new Outcome.Answered());
            return;
        }
        completion.begin(attempt);
        occupy(completion, choice, attempt);
        start(exchange, choice, attempt, remaining);
        if (!parts.quarantine().isSuspect(exchange.fingerprint())
                && exchange.repeatable()
                && exchange.relay().nextPiece() == 0) {
            parts.hedgePolicy()
                    .delay(true)
                    .ifPresent(
                            delay ->
                                    parts.scheduler()
                                            .schedule(
                                                    delay,
                                                    () -> considerHedge(completion, attempt)));
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
                        exchange.chain(),
                        exchange.relay().deliveredText(),
                        remainingTokens,
                        exchange.priority(),
                        cacheSalt(exchange));
        EngineStream stream = parts.engineClient().start(call, attempt);
        exchange.relay().attach(attempt.number(), stream);
    }

    /** Starts a second attempt elsewhere if the first one is slow to deliver its first token. */
    private void considerHedge(RunningCompletion completion, EngineAttempt slow) {
        CompletionExchange exchange = completion.exchange();
        boolean waiting =
                !exchange.finished()
                        && completion.current() == slow
                        && completion.hedge() == null
                        && !slow.firstPieceSeen()
                        && completion.attempts() < settings.maximumAttempts();
        if (!waiting) {
            return;
        }
        Set<TargetId> excluded = new HashSet<>(completion.excluded());
        excluded.add(slow.target().id());
        Optional<EngineChoice> choice = parts.chooser().choose(exchange, excluded, false);
        if (choice.isEmpty() || !parts.hedgePolicy().tryHedge(true, false)) {
            return;
        }
        int number = exchange.relay().beginHedge();
        EngineAttempt attempt = newAttempt(completion, choice.get(), number, false);
        completion.beginHedge(attempt);
        occupy(completion, choice.get(), attempt);
        start(exchange, choice.get(), attempt, exchange.submission().maximumTokens());
    }

    private static String cacheSalt(CompletionExchange exchange) {
        return Long.toHexString(BlockHasher.seed(exchange.organisationId(), exchange.modelKey()));
    }

    private void occupy(RunningCompletion completion, EngineChoice choice, EngineAttempt attempt) {
        CompletionExchange exchange = completion.exchange();
        exchange.attemptStarted();
        parts.observer().onDispatched(exchange, choice);
        String detail =
                choice.target().id()
                        + " attempt "
                        + attempt.number()
                        + " predicts "
                        + choice.predictedCachedBlocks()
                        + " blocks of incarnation "
                        + choice.incarnation();
        parts.timeline().record(EventKind.REQUEST_DISPATCHED, exchange.id().toString(), detail);
    }

    private void resume(RunningCompletion completion, CompletionExchange.ResumePoint point) {
        CompletionExchange exchange = completion.exchange();
        ResumeToken token = point.token();
        // The engine has the request already, so that "not run" is ruled out from here on.
        exchange.resumptionStarted();
        exchange.relay().continueFrom(point.nextPiece(), point.deliveredText().orElse(""));
        Optional<Target> target = parts.targets().find(token.target());
        if (target.isEmpty() || point.nextPiece() < token.basePiece()) {
            continueElsewhere(completion);
            return;
        }
        EngineChoice choice = new EngineChoice(target.get(), token.incarnation(), 0, false);
        int number = exchange.relay().beginAttempt(token.basePiece());
        EngineAttempt attempt = newAttempt(completion, choice, number, true);
        completion.begin(attempt);
        exchange.resumptionStarted();
        parts.observer().onResumed(exchange, target.get());
        parts.timeline()
                .record(
                        EventKind.STREAM_RESUMED,
                        exchange.id().toString(),
                        target.get().id() + " from piece " + point.nextPiece());
        EngineStream stream =
                parts.engineClient()
                        .resume(
                                new EngineResume(
                                        target.get(),
                                        token.incarnation(),
                                        token.streamId(),
                                        exchange.organisationId(),
                                        point.nextPiece() - token.basePiece()),
                                attempt);
        exchange.relay().attach(number, stream);
    }

    private void continueElsewhere(RunningCompletion completion) {
        CompletionExchange exchange = completion.exchange();
        boolean textKnown =
                exchange.relay().nextPiece() == 0 || !exchange.relay().deliveredText().isEmpty();
        if (!exchange.repeatable() || !textKnown) {
            exchange.finish(
                    new Outcome.Unknown(
                            ErrorCode.STREAM_LOST, "the engine no longer has the stream"));
            return;
        }
        parts.timeline()
                .record(
                        EventKind.STREAM_CONTINUED,
                        exchange.id().toString(),
                        "from piece " + exchange.relay().nextPiece());
        dispatch(completion);
    }

    private EngineAttempt newAttempt(
            RunningCompletion completion, EngineChoice choice, int number, boolean resuming) {
        return new EngineAttempt(
                choice,
                number,
                completion.exchange().modelKey(),
                completion.exchange().relay(),
                new AttemptReporter(this, completion, parts, settings.tokenLifetime()),
                parts.clock(),
                resuming);
    }

    void firstPiece(RunningCompletion completion, EngineAttempt attempt, Duration sinceDispatch) {
        if (!completion.runs(attempt)) {
            return;
        }
        releaseLoser(completion, attempt);
        parts.hedgePolicy().onFirstToken(sinceDispatch);
        parts.observer().onFirstPiece(completion.exchange(), attempt.target(), sinceDispatch);
    }

    void succeeded(RunningCompletion completion, EngineAttempt attempt) {
        if (!completion.runs(attempt)) {
            return;
        }
        releaseLoser(completion, attempt);
        if (completion.sawLoss()) {
            parts.quarantine().onCompleted(List.of(completion.exchange().fingerprint()));
        }
        completion.exchange().finish(new Outcome.Answered());
    }

    void failed(RunningCompletion completion, EngineAttempt attempt, TargetFailure failure) {
        if (!completion.runs(attempt) || completion.exchange().finished()) {
            return;
        }
        if (completion.hedge() != null) {
            oneOfTwoFailed(completion, attempt, failure);
            return;
        }
        completion.exchange().relay().cancelAttempts();
        release(completion, attempt);
        switch (failure.kind()) {
            case NOT_SENT -> notSent(completion, attempt);
            case REFUSED -> refused(completion, attempt, failure);
            case STREAM_UNKNOWN -> continueElsewhere(completion);
            case BROKEN -> broken(completion, attempt, failure);
            case FAILED -> retry(completion, attempt, failure.message());
            default -> throw new IllegalStateException("unknown failure " + failure.kind());
        }
    }

    /** Goes on with the other attempt; an engine that broke off is investigated all the same. */
    private void oneOfTwoFailed(
            RunningCompletion completion, EngineAttempt attempt, TargetFailure failure) {
        CompletionExchange exchange = completion.exchange();
        exchange.relay().dropAttempt(attempt.number());
        release(completion, attempt);
        completion.excluded().add(attempt.target().id());
        if (failure.kind() == TargetFailure.Kind.NOT_SENT) {
            exchange.attemptNotSent();
            parts.observer().onConnectionFailed(attempt.target());
        } else if (failure.kind() == TargetFailure.Kind.BROKEN) {
            parts.lossDetector()
                    .investigate(attempt.target(), attempt.incarnation())
                    .thenAccept(
                            verdict -> {
                                if (verdict == EngineLossDetector.Verdict.LOST) {
                                    lossReporter.report(completion, attempt, running);
                                }
                            });
        }
    }

    private void notSent(RunningCompletion completion, EngineAttempt attempt) {
        completion.exchange().attemptNotSent();
        completion.excluded().add(attempt.target().id());
        parts.observer().onConnectionFailed(attempt.target());
        if (attempt.resuming()) {
            continueElsewhere(completion);
            return;
        }
        dispatch(completion);
    }

    private void refused(
            RunningCompletion completion, EngineAttempt attempt, TargetFailure failure) {
        parts.observer().onRefused(attempt.target());
        retry(completion, attempt, failure.message());
    }

    private void broken(
            RunningCompletion completion, EngineAttempt attempt, TargetFailure failure) {
        completion.suspected(attempt);
        parts.lossDetector()
                .investigate(attempt.target(), attempt.incarnation())
                .thenAccept(
                        verdict -> {
                            if (verdict == EngineLossDetector.Verdict.LOST) {
                                engineLost(completion, attempt);
                            } else {
                                retry(completion, attempt, failure.message());
                            }
                        });
    }

    /**
     * Reports the loss once for all requests that were on the engine, then goes on with this one.
     */
    private void engineLost(RunningCompletion completion, EngineAttempt attempt) {
        CompletionExchange exchange = completion.exchange();
        if (exchange.finished()) {
            return;
        }
        lossReporter.report(completion, attempt, running).thenAccept(done -> afterLoss(completion));
    }

    private void afterLoss(RunningCompletion completion) {
        CompletionExchange exchange = completion.exchange();
        if (exchange.finished()) {
            return;
        }
        if (parts.quarantine().isQuarantined(exchange.fingerprint())) {
            parts.timeline()
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
        if (!exchange.repeatable()) {
            exchange.finish(new Outcome.Unknown(ErrorCode.TARGET_FAILED, "the engine was lost"));
            return;
        }
        // A lost engine's requests are retried outside the budget: engines are lost rarely, and the
        // number of retries is bounded by the requests that were on them.
        continueElsewhere(completion);
    }

    private void retry(RunningCompletion completion, EngineAttempt attempt, String reason) {
        CompletionExchange exchange = completion.exchange();
        if (exchange.finished()) {
            return;
        }
        completion.excluded().add(attempt.target().id());
        if (!exchange.repeatable()) {
            exchange.finish(new Outcome.Unknown(ErrorCode.TARGET_FAILED, reason));
            return;
        }
        if (!parts.retryPermit().tryAcquire()) {
            exchange.finish(new Outcome.Unknown(ErrorCode.RETRY_BUDGET_EXHAUSTED, reason));
            return;
        }
        continueElsewhere(completion);
    }

    private void release(RunningCompletion completion, EngineAttempt attempt) {
        if (!completion.runs(attempt)) {
            return;
        }
        completion.end(attempt);
        isolation.free(completion);
        parts.observer().onEnded(completion.exchange(), attempt.target());
    }

    /** Gives back what the slower of two attempts holds; what it computed is waste. */
    private void releaseLoser(RunningCompletion completion, EngineAttempt winner) {
        EngineAttempt loser =
                completion.current() == winner ? completion.hedge() : completion.current();
        if (loser == null || loser == winner) {
            return;
        }
        release(completion, loser);
        parts.hedgePolicy().onLoser(completion.exchange().estimatedTokens());
    }

    private void ended(RunningCompletion completion) {
        release(completion, completion.hedge());
        release(completion, completion.current());
        isolation.free(completion);
        running.remove(completion);
    }

    /** Ends attempts without progress; to be called about once a second. */
    public void checkProgress() {
        for (RunningCompletion completion : List.copyOf(running)) {
            if (completion.exchange().relay().hasDemand()) {
                checkProgress(completion, completion.hedge());
                checkProgress(completion, completion.current());
            }
        }
    }

    private void checkProgress(RunningCompletion completion, EngineAttempt attempt) {
        if (attempt == null) {
            return;
        }
        Duration limit =
                attempt.firstPieceSeen() ? settings.stallTimeout() : settings.firstPieceTimeout();
        if (attempt.sinceProgress().compareTo(limit) > 0) {
            failed(
                    completion,
                    attempt,
                    new TargetFailure(TargetFailure.Kind.BROKEN, "the engine made no progress"));
        }
    }
}
