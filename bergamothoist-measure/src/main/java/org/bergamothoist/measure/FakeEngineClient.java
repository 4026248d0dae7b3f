package org.bergamothoist.measure;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
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
import org.bergamothoist.core.platform.TargetOrder;
import org.bergamothoist.core.platform.TargetStream;

/** Carries the calls of a cache synchroniser to fake engines, with the network's delay. */
final class FakeEngineClient implements EngineClient {

    /** One-way delay between processes. */
    static final Duration DELAY = Duration.ofMillis(1);

    private final VirtualTime time;
    private final Map<TargetId, FakeEngine> engines;

    FakeEngineClient(VirtualTime time, Map<TargetId, FakeEngine> engines) {
        this.time = time;
        this.engines = engines;
    }

    @Override
    public CompletionStage<EngineReport> report(Target target) {
        return call(target, FakeEngine::report);
    }

    @Override
    public CompletionStage<CacheEventPage> cacheEvents(Target target, long afterSequence) {
        return call(target, engine -> engine.events(afterSequence));
    }

    @Override
    public CompletionStage<CacheSnapshot> cacheSnapshot(Target target) {
        return call(target, FakeEngine::snapshot);
    }

    private <T> CompletionStage<T> call(Target target, Function<FakeEngine, T> answer) {
        CompletableFuture<T> future = new CompletableFuture<>();
        FakeEngine engine = engines.get(target.id());
        time.schedule(
                DELAY,
                () -> {
                    if (!engine.alive()) {
                        time.schedule(DELAY, () -> future.completeExceptionally(down(target)));
                        return;
                    }
                    T value = answer.apply(engine);
                    time.schedule(DELAY, () -> future.complete(value));
                });
        return future;
    }

    private static PlatformException down(Target target) {
        return new PlatformException(target.id() + " refused the connection");
    }

    @Override
    public TargetStream start(EngineCall call, EngineListener listener) {
        throw new UnsupportedOperationException("streams go to the fake engine directly");
    }

    @Override
    public TargetStream resume(EngineResume resume, EngineListener listener) {
        throw new UnsupportedOperationException("streams go to the fake engine directly");
    }

    @Override
    public CompletionStage<Void> order(Target target, TargetOrder order) {
        throw new UnsupportedOperationException("orders are not measured");
    }

    @Override
    public CompletionStage<Void> transferBlocks(
            Target target, OrganisationId organisation, BlockTransfer transfer) {
        throw new UnsupportedOperationException("transfers are not measured");
    }
}
