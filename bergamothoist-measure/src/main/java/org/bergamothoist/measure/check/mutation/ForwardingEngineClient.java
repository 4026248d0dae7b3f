package org.bergamothoist.measure.check.mutation;

import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.platform.BlockTransfer;
import org.bergamothoist.core.platform.CacheEventPage;
import org.bergamothoist.core.platform.CacheSnapshot;
import org.bergamothoist.core.platform.EngineCall;
import org.bergamothoist.core.platform.EngineClient;
import org.bergamothoist.core.platform.EngineListener;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.EngineResponseStart;
import org.bergamothoist.core.platform.EngineResume;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetFailure;
import org.bergamothoist.core.platform.TargetOrder;
import org.bergamothoist.core.platform.TargetStream;

/** Passes all calls on; subclasses change some. */
class ForwardingEngineClient implements EngineClient {

    private final EngineClient next;

    ForwardingEngineClient(EngineClient next) {
        this.next = next;
    }

    @Override
    public TargetStream start(EngineCall call, EngineListener listener) {
        return next.start(call, listener);
    }

    @Override
    public TargetStream resume(EngineResume resume, EngineListener listener) {
        return next.resume(resume, listener);
    }

    @Override
    public CompletionStage<EngineReport> report(Target target) {
        return next.report(target);
    }

    @Override
    public CompletionStage<CacheEventPage> cacheEvents(Target target, long afterSequence) {
        return next.cacheEvents(target, afterSequence);
    }

    @Override
    public CompletionStage<CacheSnapshot> cacheSnapshot(Target target) {
        return next.cacheSnapshot(target);
    }

    @Override
    public CompletionStage<Void> order(Target target, TargetOrder order) {
        return next.order(target, order);
    }

    @Override
    public CompletionStage<Void> transferBlocks(
            Target target, OrganisationId organisation, BlockTransfer transfer) {
        return next.transferBlocks(target, organisation, transfer);
    }

    /** Passes all events on; subclasses change some. */
    static class Listener implements EngineListener {

        private final EngineListener next;

        Listener(EngineListener next) {
            this.next = next;
        }

        @Override
        public void onSending() {
            next.onSending();
        }

        @Override
        public void onStarted(EngineResponseStart start) {
            next.onStarted(start);
        }

        @Override
        public void onPiece(int index, String text, int tokens) {
            next.onPiece(index, text, tokens);
        }

        @Override
        public void onCompleted() {
            next.onCompleted();
        }

        @Override
        public void onFailed(TargetFailure failure) {
            next.onFailed(failure);
        }
    }
}
