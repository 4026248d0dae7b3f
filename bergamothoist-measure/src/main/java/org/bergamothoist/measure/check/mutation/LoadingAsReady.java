package org.bergamothoist.measure.check.mutation;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.node.NodeSettings;
import org.bergamothoist.core.platform.EngineClient;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.LoadedModel;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.measure.check.Interposition;

/** Reports models as ready while they are being loaded. */
final class LoadingAsReady implements Interposition {

    @Override
    public EngineClient engines(NodeSettings node, EngineClient engines) {
        return new ForwardingEngineClient(engines) {
            @Override
            public CompletionStage<EngineReport> report(Target target) {
                return super.report(target).thenApply(LoadingAsReady::ready);
            }
        };
    }

    private static EngineReport ready(EngineReport report) {
        List<LoadedModel> models =
                report.models().stream()
                        .map(model -> new LoadedModel(model.key(), LoadedModel.State.READY))
                        .toList();
        return new EngineReport(
                report.incarnation(),
                models,
                report.queuedTokens(),
                report.runningStreams(),
                report.measuredAt(),
                report.lastEventSequence(),
                report.leaving(),
                report.fencing());
    }
}
