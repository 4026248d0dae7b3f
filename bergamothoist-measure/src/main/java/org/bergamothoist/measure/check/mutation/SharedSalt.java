package org.bergamothoist.measure.check.mutation;

import org.bergamothoist.core.node.NodeSettings;
import org.bergamothoist.core.platform.EngineCall;
import org.bergamothoist.core.platform.EngineClient;
import org.bergamothoist.core.platform.EngineListener;
import org.bergamothoist.core.platform.TargetStream;
import org.bergamothoist.measure.check.Interposition;

/** Sends all requests with the same cache salt. */
final class SharedSalt implements Interposition {

    @Override
    public EngineClient engines(NodeSettings node, EngineClient engines) {
        return new ForwardingEngineClient(engines) {
            @Override
            public TargetStream start(EngineCall call, EngineListener listener) {
                return super.start(
                        new EngineCall(
                                call.target(),
                                call.requestId(),
                                call.attempt(),
                                call.organisation(),
                                call.modelKey(),
                                call.prompt(),
                                call.hashChain(),
                                call.deliveredText(),
                                call.maximumTokens(),
                                call.priority(),
                                "salt"),
                        listener);
            }
        };
    }
}
