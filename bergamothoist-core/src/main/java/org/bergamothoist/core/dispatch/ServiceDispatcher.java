package org.bergamothoist.core.dispatch;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.platform.ServiceCall;
import org.bergamothoist.core.platform.ServiceClient;
import org.bergamothoist.core.platform.ServiceListener;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetFailure;
import org.bergamothoist.core.platform.TargetStream;
import org.bergamothoist.core.quarantine.QuarantineController;
import org.bergamothoist.core.quarantine.TargetLossDetector;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.request.RequestFilter;
import org.bergamothoist.core.request.ServiceExchange;
import org.bergamothoist.core.request.ServiceSubmission;
import org.bergamothoist.core.time.Scheduler;

/**
 * Last filter of the chain for calls to plain services. A call is retried only if no byte of it was
 * sent, or if it is idempotent and the caller has received nothing of a response. Confined to the
 * control thread.
 *
 * <p>An instance that broke a connection and no longer listens counts as lost.
 */
public final class ServiceDispatcher implements RequestFilter<ServiceExchange> {

    private static final Logger LOGGER = LogManager.getLogger(ServiceDispatcher.class);

    /** Time after which a call that waits looks again for an instance. */
    private static final Duration INSTANCE_POLL_INTERVAL = Duration.ofMillis(50);

    private final ServiceClient client;
    private final ServiceChooser chooser;
    private final RetryPermit retryPermit;
    private final Observer observer;
    private final QuarantineController quarantine;
    private final SuspectIsolation isolation;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final DispatchSettings settings;
    private final Map<TargetId, Integer> outstandingCalls = new HashMap<>();

    /** Is told which instances run, for the choice of the next ones. */
    public interface Observer {

        /** Handles an instance that has completed a response. */
        void onResponded(Target target);

        /** Handles an instance that accepts no connections. */
        void onConnectionFailed(Target target);
    }

    /** Creates a dispatcher. */
    public ServiceDispatcher(
            ServiceClient client,
            ServiceChooser chooser,
            RetryPermit retryPermit,
            Observer observer,
            QuarantineController quarantine,
            TargetReservation reservation,
            Scheduler scheduler,
            InstantSource clock,
            DispatchSettings settings) {
        this.client = client;
        this.chooser = chooser;
        this.retryPermit = retryPermit;
        this.observer = observer;
        this.quarantine = quarantine;
        this.isolation = new SuspectIsolation(reservation);
        this.scheduler = scheduler;
        this.clock = clock;
        this.settings = settings;
    }

    @Override
    public void apply(ServiceExchange exchange, Runnable proceed) {
        dispatch(new Call(exchange, clock.instant()));
    }

    /** Returns the number of calls that this daemon has outstanding at a target. */
    public int outstanding(TargetId target) {
        return outstandingCalls.getOrDefault(target, 0);
    }

    private void dispatch(Call call) {
        if (call.exchange.finished()) {
            return;
        }
        boolean suspect = quarantine.isSuspect(call.exchange.fingerprint());
        Set<TargetId> occupied = new HashSet<>();
        Optional<Target> chosen =
                call.attempts >= settings.maximumAttempts()
                        ? Optional.empty()
                        : choose(call, suspect, occupied);
        if (chosen.isEmpty()) {
            waitOrFail(call, !occupied.isEmpty());
            return;
        }
        Target target = chosen.get();
        if (!suspect) {
            send(new Attempt(call, target, false));
            return;
        }
        isolation
                .reserve(target.id())
                .thenAccept(granted -> afterReservation(call, target, granted));
    }

    /**
     * A suspect call is sent to an instance that runs no other, which a crash would blame as well.
     *
     * @param occupied receives the instances that were left out for that reason
     */
    private Optional<Target> choose(Call call, boolean suspect, Set<TargetId> occupied) {
        return chooser.choose(
                call.exchange.submission().service(),
                id -> {
                    if (call.excluded.contains(id)) {
                        return false;
                    }
                    boolean free = !suspect || !isolation.runsSuspect(id);
                    if (!free) {
                        occupied.add(id);
                    }
                    return free;
                });
    }

    /**
     * Lets a call wait that is suspect and has to wait its turn, or whose instance was lost and may
     * be replaced soon; all other calls without an instance fail at once.
     */
    private void waitOrFail(Call call, boolean occupied) {
        Instant now = clock.instant();
        boolean late =
                !now.isBefore(call.startedAt.plus(settings.engineWaitTimeout()))
                        || call.exchange
                                .deadline()
                                .filter(deadline -> !now.isBefore(deadline))
                                .isPresent();
        if ((occupied || call.instanceLost) && !late) {
            call.excluded.clear();
            scheduler.schedule(INSTANCE_POLL_INTERVAL, () -> dispatch(call));
            return;
        }
        call.exchange.fail(
                ErrorCode.NO_TARGET,
                "no instance of service "
                        + call.exchange.submission().service()
                        + " accepted the call, attempts: "
                        + call.attempts);
    }

    private void afterReservation(Call call, Target target, boolean granted) {
        if (granted && !call.exchange.finished() && chooser.confirm(target)) {
            send(new Attempt(call, target, true));
            return;
        }
        isolation.release(target.id());
        scheduler.schedule(INSTANCE_POLL_INTERVAL, () -> dispatch(call));
    }

    private void send(Attempt attempt) {
        ServiceExchange exchange = attempt.call.exchange;
        exchange.attemptStarted();
        outstandingCalls.merge(attempt.target.id(), 1, Integer::sum);
        ServiceSubmission submission = exchange.submission();
        TargetStream stream =
                client.start(
                        new ServiceCall(
                                attempt.target,
                                exchange.id(),
                                submission.method(),
                                submission.pathAndQuery(),
                                submission.headers(),
                                submission.body()),
                        attempt);
        exchange.relay().attach(attempt.number, stream);
        scheduler.schedule(settings.firstTokenTimeout(), attempt::failIfNoHeadReceived);
    }

    private void endAttempt(Attempt attempt) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        outstandingCalls.computeIfPresent(
                attempt.target.id(), (id, count) -> count == 1 ? null : count - 1);
        if (attempt.reserved) {
            isolation.release(attempt.target.id());
        }
    }

    private void onAnswered(Attempt attempt) {
        ServiceExchange exchange = attempt.call.exchange;
        observer.onResponded(attempt.target);
        quarantine.onCompleted(List.of(exchange.fingerprint()));
        exchange.finish(new Outcome.Answered());
    }

    /** The response shows that the content is harmless only if the instance goes on. */
    private void onAnsweredByClose(Attempt attempt) {
        ServiceExchange exchange = attempt.call.exchange;
        exchange.finish(new Outcome.Answered());
        probe(
                attempt.target,
                listening -> {
                    if (listening) {
                        observer.onResponded(attempt.target);
                        quarantine.onCompleted(List.of(exchange.fingerprint()));
                    } else {
                        reportLoss(attempt);
                    }
                });
    }

    private void onAttemptFailed(Attempt attempt, TargetFailure failure) {
        endAttempt(attempt);
        ServiceExchange exchange = attempt.call.exchange;
        if (!exchange.relay().isCurrent(attempt.number)) {
            return;
        }
        exchange.relay().cancelAttempt();
        attempt.call.excluded.add(attempt.target.id());
        if (failure.kind() == TargetFailure.Kind.NOT_SENT) {
            exchange.attemptNotSent();
            observer.onConnectionFailed(attempt.target);
            dispatch(attempt.call);
            return;
        }
        if (failure.kind() != TargetFailure.Kind.BROKEN) {
            retryOrFinish(attempt, failure);
            return;
        }
        probe(
                attempt.target,
                listening -> {
                    if (listening) {
                        retryOrFinish(attempt, failure);
                    } else {
                        attempt.call.instanceLost = true;
                        reportLoss(attempt).thenAccept(done -> retryOrFinish(attempt, failure));
                    }
                });
    }

    /** Passes on whether an instance still listens, or cannot be reached. */
    private void probe(Target target, Consumer<Boolean> receiver) {
        scheduler.schedule(
                TargetLossDetector.PROBE_DELAY,
                () ->
                        client.isListening(target)
                                .whenComplete(
                                        (listening, failure) ->
                                                onProbed(target, listening, failure, receiver)));
    }

    private void onProbed(
            Target target, Boolean listening, Throwable failure, Consumer<Boolean> receiver) {
        if (failure != null) {
            LOGGER.warn("no probe of {}: {}", target.id(), failure.toString());
        }
        scheduler.execute(() -> receiver.accept(!Boolean.FALSE.equals(listening)));
    }

    /** Completes once the other daemons know of the loss, or have had the time to. */
    private CompletionStage<Void> reportLoss(Attempt attempt) {
        observer.onConnectionFailed(attempt.target);
        return quarantine.reportLoss(
                attempt.target.id(),
                attempt.incarnation,
                Set.of(attempt.call.exchange.fingerprint()));
    }

    private void retryOrFinish(Attempt attempt, TargetFailure failure) {
        ServiceExchange exchange = attempt.call.exchange;
        if (exchange.finished()) {
            return;
        }
        if (quarantine.isQuarantined(exchange.fingerprint())) {
            exchange.finish(new Outcome.Unknown(ErrorCode.REQUEST_QUARANTINED, failure.message()));
            return;
        }
        if (!exchange.retryable() || exchange.relay().headDelivered()) {
            exchange.finish(new Outcome.Unknown(ErrorCode.TARGET_FAILED, failure.message()));
            return;
        }
        if (!retryPermit.tryAcquire()) {
            exchange.finish(
                    new Outcome.Unknown(ErrorCode.RETRY_BUDGET_EXHAUSTED, failure.message()));
            return;
        }
        dispatch(attempt.call);
    }

    /** A call and the attempts to run it. */
    private static final class Call {

        private final ServiceExchange exchange;
        private final Instant startedAt;
        private final Set<TargetId> excluded = new HashSet<>();
        private int attempts;
        private boolean instanceLost;

        Call(ServiceExchange exchange, Instant startedAt) {
            this.exchange = exchange;
            this.startedAt = startedAt;
        }
    }

    /** One dispatch to a service. Passes events to the relay directly and to the control thread. */
    private final class Attempt implements ServiceListener {

        private final Call call;
        private final Target target;
        private final int number;

        /** Named when the call is sent, so that calls that one crash ends name the same one. */
        private final EngineIncarnation incarnation;

        private final boolean reserved;
        private boolean ended;
        private volatile boolean headReceived;

        Attempt(Call call, Target target, boolean reserved) {
            this.call = call;
            this.target = target;
            this.number = call.exchange.relay().beginAttempt();
            this.incarnation = quarantine.nextIncarnation(target.id(), call.exchange.fingerprint());
            this.reserved = reserved;
            call.attempts++;
            call.exchange.onFinish(outcome -> endAttempt(this));
        }

        void failIfNoHeadReceived() {
            if (!headReceived && !ended) {
                onFailed(
                        new TargetFailure(
                                TargetFailure.Kind.BROKEN,
                                "the service sent no response within "
                                        + settings.firstTokenTimeout().toMillis()
                                        + " ms"));
            }
        }

        @Override
        public void onSending() {
            // An attempt counts as possibly sent from its start, see attemptStarted().
        }

        @Override
        public void onHead(int status, Map<String, List<String>> headers) {
            headReceived = true;
            call.exchange.relay().deliverHead(number, status, headers);
        }

        @Override
        public void onBody(ByteBuffer part) {
            call.exchange.relay().deliverBody(number, part);
        }

        @Override
        public void onCompleted() {
            if (call.exchange.relay().complete(number)) {
                scheduler.execute(() -> onAnswered(this));
            }
        }

        @Override
        public void onCompletedByClose() {
            if (call.exchange.relay().complete(number)) {
                scheduler.execute(() -> onAnsweredByClose(this));
            }
        }

        @Override
        public void onFailed(TargetFailure failure) {
            scheduler.execute(() -> onAttemptFailed(this, failure));
        }
    }
}
