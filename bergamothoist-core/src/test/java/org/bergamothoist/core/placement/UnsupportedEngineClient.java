package org.bergamothoist.core.placement;

import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.platform.BlockTransfer;
import org.bergamothoist.core.platform.CacheEventPage;
import org.bergamothoist.core.platform.CacheSnapshot;
import org.bergamothoist.core.platform.EngineCall;
import org.bergamothoist.core.platform.EngineClient;
import org.bergamothoist.core.platform.EngineListener;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.EngineResume;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetOrder;
import org.bergamothoist.core.platform.TargetStream;

/** An engine client whose calls all throw; a test overrides those that it expects. */
public class UnsupportedEngineClient implements EngineClient {

    @Override
    public TargetStream start(EngineCall call, EngineListener listener) {
        throw new UnsupportedOperationException();
    }

    @Override
    public TargetStream resume(EngineResume resume, EngineListener listener) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletionStage<EngineReport> report(Target target) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletionStage<CacheEventPage> cacheEvents(Target target, long afterSequence) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletionStage<CacheSnapshot> cacheSnapshot(Target target) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletionStage<Void> order(Target target, TargetOrder order) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletionStage<Void> transferBlocks(
            Target target, OrganisationId organisation, BlockTransfer transfer) {
        throw new UnsupportedOperationException();
    }
}
