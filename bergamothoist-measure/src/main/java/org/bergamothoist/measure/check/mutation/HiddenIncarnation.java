package org.bergamothoist.measure.check.mutation;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.node.NodeSettings;
import org.bergamothoist.core.platform.CacheEventPage;
import org.bergamothoist.core.platform.CacheSnapshot;
import org.bergamothoist.core.platform.EngineCall;
import org.bergamothoist.core.platform.EngineClient;
import org.bergamothoist.core.platform.EngineListener;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.EngineResponseStart;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetStream;
import org.bergamothoist.measure.check.Interposition;

/** Shows each engine under the first incarnation that a node has seen. */
final class HiddenIncarnation implements Interposition {

    @Override
    public EngineClient engines(NodeSettings node, EngineClient engines) {
        return new Client(engines);
    }

    private static final class Client extends ForwardingEngineClient {

        private final Map<TargetId, EngineIncarnation> first = new HashMap<>();

        Client(EngineClient next) {
            super(next);
        }

        private EngineIncarnation first(Target target, EngineIncarnation incarnation) {
            EngineIncarnation known = first.putIfAbsent(target.id(), incarnation);
            return known == null ? incarnation : known;
        }

        @Override
        public TargetStream start(EngineCall call, EngineListener listener) {
            return super.start(
                    call,
                    new Listener(listener) {
                        @Override
                        public void onStarted(EngineResponseStart start) {
                            super.onStarted(
                                    new EngineResponseStart(
                                            first(call.target(), start.incarnation()),
                                            start.modelKey(),
                                            start.streamId(),
                                            start.cachedTokens(),
                                            start.promptTokens()));
                        }
                    });
        }

        @Override
        public CompletionStage<EngineReport> report(Target target) {
            return super.report(target)
                    .thenApply(
                            report ->
                                    new EngineReport(
                                            first(target, report.incarnation()),
                                            report.models(),
                                            report.queuedTokens(),
                                            report.runningStreams(),
                                            report.measuredAt(),
                                            report.lastEventSequence(),
                                            report.leaving(),
                                            report.fencing()));
        }

        @Override
        public CompletionStage<CacheEventPage> cacheEvents(Target target, long afterSequence) {
            return super.cacheEvents(target, afterSequence)
                    .thenApply(
                            page ->
                                    new CacheEventPage(
                                            first(target, page.incarnation()), page.events()));
        }

        @Override
        public CompletionStage<CacheSnapshot> cacheSnapshot(Target target) {
            return super.cacheSnapshot(target)
                    .thenApply(
                            snapshot ->
                                    new CacheSnapshot(
                                            first(target, snapshot.incarnation()),
                                            snapshot.sequence(),
                                            snapshot.blockHashes()));
        }
    }
}
