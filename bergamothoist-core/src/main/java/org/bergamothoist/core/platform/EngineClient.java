package org.bergamothoist.core.platform;

import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.identity.OrganisationId;

/** Client of model engines. Implementations must not retry calls. */
public interface EngineClient {

    /** Sends a completion; its events are passed to the listener. */
    TargetStream start(EngineCall call, EngineListener listener);

    /** Resumes a stream that the engine is running or has recently finished. */
    TargetStream resume(EngineResume resume, EngineListener listener);

    /** Returns the engine's current report; fails with {@link PlatformException}. */
    CompletionStage<EngineReport> report(Target target);

    /** Returns the cache events after a sequence number; fails with {@link PlatformException}. */
    CompletionStage<CacheEventPage> cacheEvents(Target target, long afterSequence);

    /** Returns all cached blocks; fails with {@link PlatformException}. */
    CompletionStage<CacheSnapshot> cacheSnapshot(Target target);

    /** Sends an order; completes when it is accepted, fails with {@link PlatformException}. */
    CompletionStage<Void> order(Target target, TargetOrder order);

    /**
     * Requests a block transfer between the engine and the KV cache store. The store identifies
     * blocks by organisation and chained hash, which covers model, adapter and version.
     */
    CompletionStage<Void> transferBlocks(
            Target target, OrganisationId organisation, BlockTransfer transfer);
}
