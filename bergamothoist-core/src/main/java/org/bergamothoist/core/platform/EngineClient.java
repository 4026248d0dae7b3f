package org.bergamothoist.core.platform;

import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.identity.OrganisationId;

/** Talks to model engines. It never repeats a call on its own. */
public interface EngineClient {

    /** Sends a completion. */
    TargetStream start(EngineCall call, EngineListener listener);

    /** Resumes a stream that the engine runs or has finished shortly before. */
    TargetStream resume(EngineResume resume, EngineListener listener);

    /** Returns what the engine says of itself; fails with {@link PlatformException}. */
    CompletionStage<EngineReport> report(Target target);

    /** Returns cache events after a sequence number; fails with {@link PlatformException}. */
    CompletionStage<CacheEventPage> cacheEvents(Target target, long afterSequence);

    /** Returns all cached blocks; fails with {@link PlatformException}. */
    CompletionStage<CacheSnapshot> cacheSnapshot(Target target);

    /** Gives an order; completes when the target took it, fails with {@link PlatformException}. */
    CompletionStage<Void> order(Target target, TargetOrder order);

    /**
     * Tells the engine to export the blocks to the KV cache store or import them from it. The store
     * keys blocks by organisation and chained hash, which covers model, adapter and version.
     */
    CompletionStage<Void> transferBlocks(
            Target target, OrganisationId organisation, BlockTransfer transfer);
}
