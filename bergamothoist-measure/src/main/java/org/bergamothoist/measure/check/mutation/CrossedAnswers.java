package org.bergamothoist.measure.check.mutation;

import org.bergamothoist.core.node.NodeSettings;
import org.bergamothoist.core.platform.EngineCall;
import org.bergamothoist.core.platform.EngineClient;
import org.bergamothoist.core.platform.EngineListener;
import org.bergamothoist.core.platform.TargetStream;
import org.bergamothoist.measure.check.Interposition;

/** Delivers the text that another stream of the same node got last. */
final class CrossedAnswers implements Interposition {

    @Override
    public EngineClient engines(NodeSettings node, EngineClient engines) {
        return new Client(engines);
    }

    private static final class Client extends ForwardingEngineClient {

        private String lastText = "";

        Client(EngineClient next) {
            super(next);
        }

        @Override
        public TargetStream start(EngineCall call, EngineListener listener) {
            return super.start(
                    call,
                    new Listener(listener) {
                        @Override
                        public void onPiece(int index, String text, int tokens) {
                            super.onPiece(index, lastText.isEmpty() ? text : lastText, tokens);
                            lastText = text;
                        }
                    });
        }
    }
}
