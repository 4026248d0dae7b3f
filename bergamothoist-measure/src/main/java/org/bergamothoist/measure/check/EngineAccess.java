package org.bergamothoist.measure.check;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.platform.BlockTransfer;
import org.bergamothoist.core.platform.CacheEventPage;
import org.bergamothoist.core.platform.CacheSnapshot;
import org.bergamothoist.core.platform.EngineCall;
import org.bergamothoist.core.platform.EngineClient;
import org.bergamothoist.core.platform.EngineListener;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.EngineResume;
import org.bergamothoist.core.platform.PlatformException;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetFailure;
import org.bergamothoist.core.platform.TargetOrder;
import org.bergamothoist.core.platform.TargetStream;

/** One node's access to the fake engines. */
final class EngineAccess implements EngineClient {

    /** Orders are under way for at most the flight time of section 3.9 of the design. */
    private static final int ORDER_FLIGHT_MILLISECONDS = 1_500;

    /** Time after which the node drops an answer, which then is no evidence of anything. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    private final World world;
    private final String daemon;
    private final SimulatedProcess node;
    private final RandomGenerator random;
    private final CacheOracle cacheOracle;

    EngineAccess(World world, String daemon, SimulatedProcess node, CacheOracle cacheOracle) {
        this.world = world;
        this.daemon = daemon;
        this.node = node;
        this.random = world.random();
        this.cacheOracle = cacheOracle;
    }

    @Override
    public TargetStream start(EngineCall call, EngineListener listener) {
        world.leavingOracle().dispatched(daemon, call.target().id());
        Connection<EngineListener> connection = connection(call.target(), listener);
        world.time()
                .schedule(
                        Connection.LATENCY,
                        () -> {
                            FakeEngine engine = reachable(call.target());
                            if (engine == null) {
                                refuse(connection);
                                return;
                            }
                            connection.deliver(EngineListener::onSending);
                            world.received(
                                    call.organisation(),
                                    call.requestId(),
                                    call.target().id(),
                                    daemon);
                            engine.process().execute(() -> engine.accept(call, connection));
                        });
        return connection;
    }

    private Connection<EngineListener> connection(Target target, EngineListener listener) {
        return new Connection<>(
                world.time(), node, new EvidenceListener(target, listener, cacheOracle));
    }

    private static void refuse(Connection<EngineListener> connection) {
        connection.end(
                listener ->
                        listener.onFailed(
                                new TargetFailure(
                                        TargetFailure.Kind.NOT_SENT, "connection refused")));
    }

    private FakeEngine reachable(Target target) {
        FakeEngine engine = world.engine(target.id());
        return engine != null && engine.alive() ? engine : null;
    }

    @Override
    public TargetStream resume(EngineResume resume, EngineListener listener) {
        Connection<EngineListener> connection = connection(resume.target(), listener);
        world.time()
                .schedule(
                        Connection.LATENCY,
                        () -> {
                            FakeEngine engine = reachable(resume.target());
                            if (engine == null) {
                                refuse(connection);
                                return;
                            }
                            engine.process().execute(() -> engine.resume(resume, connection));
                        });
        return connection;
    }

    private <T> CompletionStage<T> ask(
            Target target,
            Duration flight,
            Function<FakeEngine, T> question,
            Function<T, EngineIncarnation> evidence) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        Instant askedAt = world.time().instant();
        Consumer<Throwable> fail =
                failure ->
                        node.schedule(
                                Connection.LATENCY, () -> answer.completeExceptionally(failure));
        world.time()
                .schedule(
                        Connection.LATENCY.plus(flight),
                        () -> {
                            FakeEngine engine = reachable(target);
                            if (engine == null) {
                                fail.accept(new PlatformException("connection refused"));
                                return;
                            }
                            engine.process()
                                    .execute(
                                            () -> {
                                                T value;
                                                try {
                                                    value = question.apply(engine);
                                                } catch (PlatformException exception) {
                                                    fail.accept(exception);
                                                    return;
                                                }
                                                node.schedule(
                                                        Connection.LATENCY,
                                                        () -> {
                                                            note(target, value, askedAt, evidence);
                                                            answer.complete(value);
                                                        });
                                            });
                        });
        return answer;
    }

    private <T> void note(
            Target target, T value, Instant askedAt, Function<T, EngineIncarnation> evidence) {
        Duration taken = Duration.between(askedAt, world.time().instant());
        if (evidence != null && taken.compareTo(CALL_TIMEOUT) < 0) {
            cacheOracle.evidence(target.id(), evidence.apply(value));
        }
    }

    @Override
    public CompletionStage<EngineReport> report(Target target) {
        return ask(target, Duration.ZERO, FakeEngine::report, EngineReport::incarnation);
    }

    @Override
    public CompletionStage<CacheEventPage> cacheEvents(Target target, long afterSequence) {
        return ask(
                target,
                Duration.ZERO,
                engine -> engine.events(afterSequence),
                CacheEventPage::incarnation);
    }

    @Override
    public CompletionStage<CacheSnapshot> cacheSnapshot(Target target) {
        return ask(target, Duration.ZERO, FakeEngine::snapshot, CacheSnapshot::incarnation);
    }

    @Override
    public CompletionStage<Void> order(Target target, TargetOrder order) {
        Duration flight = Duration.ofMillis(random.nextInt(ORDER_FLIGHT_MILLISECONDS));
        return ask(
                target,
                flight,
                engine -> {
                    engine.order(order);
                    return null;
                },
                null);
    }

    @Override
    public CompletionStage<Void> transferBlocks(
            Target target, OrganisationId organisation, BlockTransfer transfer) {
        return CompletableFuture.completedFuture(null);
    }
}
