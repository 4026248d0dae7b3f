package org.bergamothoist.gateway.client;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetIncarnation;
import org.bergamothoist.core.quarantine.LivenessChecker;
import org.bergamothoist.core.quarantine.TargetLossDetector;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.wire.WireDialect;

/**
 * Asks targets whose answers may end with their connections over another connection, a spare one
 * that was open before the answer ended: a process that ends closes all of them, and whatever its
 * port does afterwards, no other process can answer there. Confined to the event loop.
 *
 * <p>Without a spare connection, a new one is opened, and only an answer that names the target
 * counts.
 */
public final class ConnectionLivenessChecker implements LivenessChecker {

    /** Time for an answer: two retransmissions of a lost packet. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(500);

    private final ConnectionPool pool;
    private final WireDialect dialect;
    private final Predicate<TargetIncarnation> registered;
    private final Scheduler scheduler;
    private final Counter asked;
    private final DecisionLog log;
    private final Map<TargetIncarnation, Watch> watches = new HashMap<>();

    /**
     * Creates a checker.
     *
     * @param registered whether a run of a target is registered
     */
    public ConnectionLivenessChecker(
            ConnectionPool pool,
            WireDialect dialect,
            Predicate<TargetIncarnation> registered,
            Scheduler scheduler,
            MetricRegistry metrics,
            DecisionLog log) {
        this.pool = pool;
        this.dialect = dialect;
        this.registered = registered;
        this.scheduler = scheduler;
        this.asked = metrics.counter("liveness-checks");
        this.log = log;
    }

    /** Notes that a request is about to be sent to a target. */
    public void onRequest(RegisteredTarget target) {
        Watch watch = watch(target);
        if (watch.framing != Framing.LENGTH) {
            watch.openSpare();
        }
    }

    /**
     * Notes that an answer of a target has begun.
     *
     * @param selfDelimited whether the answer has a length or chunks, or cannot have a body
     */
    public void onAnswer(RegisteredTarget target, boolean selfDelimited) {
        Watch watch = watch(target);
        if (!selfDelimited) {
            watch.framing = Framing.CLOSE;
            watch.openSpare();
        } else if (watch.framing == Framing.UNKNOWN) {
            watch.framing = Framing.LENGTH;
            watch.releaseSpare();
        }
    }

    /** Forgets targets that are no longer registered, unless a connection to them is open. */
    public void removeExpired() {
        watches.entrySet()
                .removeIf(
                        entry ->
                                entry.getValue().spare.isEmpty()
                                        && !registered.test(entry.getKey()));
    }

    private void log(RegisteredTarget target, String inputs, String outcome) {
        log.write(
                DecisionKind.LIVENESS_CHECKED,
                target.id(),
                () -> "address=" + target.address() + " " + inputs,
                outcome);
    }

    private Watch watch(RegisteredTarget target) {
        return watches.computeIfAbsent(target.incarnation(), incarnation -> new Watch(target));
    }

    @Override
    public Check begin(RegisteredTarget target) {
        return watch(target).begin();
    }

    /** How the answers of a target end, as far as they have shown. */
    private enum Framing {
        UNKNOWN,
        /** All answers had a length or chunks. */
        LENGTH,
        /** Some answer ended with its connection. */
        CLOSE
    }

    /** What is known of one run of a target. */
    private final class Watch {

        private final RegisteredTarget target;
        private Framing framing = Framing.UNKNOWN;
        private Optional<ClientConnection> spare = Optional.empty();
        private boolean opening;
        private Instant spareClosedAt = Instant.MIN;

        private Watch(RegisteredTarget target) {
            this.target = target;
        }

        private Destination destination() {
            return new Destination(target.address(), target.id(), AnswerMatch.byConnection());
        }

        private void openSpare() {
            if (opening || spare.isPresent()) {
                return;
            }
            opening = true;
            pool.open(
                    destination(),
                    (connection, failure) -> {
                        opening = false;
                        if (connection == null) {
                            log(target, "" + failure, "no spare connection");
                            return;
                        }
                        spare = Optional.of(connection);
                        connection.onClosed(() -> onClosed(connection));
                    });
        }

        private void onClosed(ClientConnection connection) {
            if (spare.equals(Optional.of(connection))) {
                spare = Optional.empty();
                spareClosedAt = pool.clock().instant();
            }
        }

        /** Leaves the spare connection to requests. */
        private void releaseSpare() {
            Optional<ClientConnection> released = spare;
            spare = Optional.empty();
            released.filter(ClientConnection::isUsable).ifPresent(pool::release);
        }

        private void closeSpare() {
            Optional<ClientConnection> closed = spare;
            spare = Optional.empty();
            closed.ifPresent(ClientConnection::close);
        }

        private Check begin() {
            Optional<ClientConnection> open = spare;
            spare = Optional.empty();
            if (open.isPresent()) {
                return receiver -> ask(open.get(), receiver);
            }
            // The end of the process may have been noticed on the spare connection first.
            Instant endOfOthers = pool.clock().instant().minus(TargetLossDetector.PROBE_DELAY);
            return spareClosedAt.isBefore(endOfOthers)
                    ? this::askByName
                    : receiver -> receiver.accept(Result.ENDED);
        }

        private void ask(ClientConnection connection, Consumer<Result> receiver) {
            if (!connection.isIdle()) {
                log(target, "spare connection closed", Result.ENDED.toString());
                receiver.accept(Result.ENDED);
                return;
            }
            // Opened now, so that an answer which ends right after the check finds it open.
            openSpare();
            new Question(target, true, receiver.andThen(this::onAsked)).send(connection);
        }

        private void onAsked(Result result) {
            if (result != Result.ALIVE) {
                closeSpare();
            }
        }

        private void askByName(Consumer<Result> receiver) {
            pool.open(
                    destination(),
                    (connection, failure) -> {
                        if (connection == null) {
                            boolean refused = ConnectionPool.isRefused(failure);
                            Result result = refused ? Result.ENDED : Result.UNKNOWN;
                            log(target, "" + failure, result.toString());
                            receiver.accept(result);
                            return;
                        }
                        new Question(target, false, receiver).send(connection);
                    });
        }
    }

    /** One call that any target refuses at once. */
    private final class Question implements AnswerListener {

        private final RegisteredTarget target;
        private final boolean openBefore;
        private final Consumer<Result> receiver;
        private ClientConnection connection;
        private Scheduler.Cancellable timer;
        private boolean done;

        /**
         * Creates a question.
         *
         * @param openBefore whether the connection was open before the answer in question ended
         */
        private Question(RegisteredTarget target, boolean openBefore, Consumer<Result> receiver) {
            this.target = target;
            this.openBefore = openBefore;
            this.receiver = receiver;
        }

        private void send(ClientConnection opened) {
            connection = opened;
            asked.inc();
            timer =
                    scheduler.schedule(
                            ANSWER_TIMEOUT, () -> finish(Result.UNKNOWN, "no answer in time"));
            HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
            head.headers().set(HttpHeaderNames.HOST, target.address());
            String id = Long.toHexString(ThreadLocalRandom.current().nextLong());
            dialect.addressToNoTarget(head.headers(), id, ANSWER_TIMEOUT);
            connection.send(head, Unpooled.EMPTY_BUFFER, AnswerMatch.byConnection(), this);
        }

        @Override
        public boolean onHead(HttpResponse head) {
            Optional<String> instance = dialect.readResponse(head).respondingInstance();
            String detail = "status=" + head.status().code() + " instance=" + instance.orElse("");
            if (instance.isEmpty()) {
                finish(openBefore ? Result.ALIVE : Result.UNKNOWN, detail);
            } else {
                boolean named = instance.get().equals(target.id());
                finish(named ? Result.ALIVE : Result.ENDED, detail);
            }
            return true;
        }

        @Override
        public void onContent(ByteBuf content) {
            // The head says all; the connection is closed.
        }

        @Override
        public void onComplete() {
            // The head says all; the connection is closed.
        }

        @Override
        public void onFailure(Failure failure, String detail) {
            boolean ended = openBefore && failure == Failure.CONNECTION_LOST;
            finish(ended ? Result.ENDED : Result.UNKNOWN, failure + " " + detail);
        }

        private void finish(Result result, String detail) {
            if (done) {
                return;
            }
            done = true;
            timer.cancel();
            connection.abort();
            log(target, (openBefore ? "spare " : "new ") + detail, result.toString());
            receiver.accept(result);
        }
    }
}
