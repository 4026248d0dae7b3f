package org.bergamothoist.measure.check.mutation;

import org.bergamothoist.core.node.NodeSettings;
import org.bergamothoist.core.platform.EngineCall;
import org.bergamothoist.core.platform.EngineClient;
import org.bergamothoist.core.platform.EngineListener;
import org.bergamothoist.core.platform.TargetStream;
import org.bergamothoist.measure.check.Interposition;

/** Loses one piece of each stream and renumbers those that follow. */
final class LostPiece implements Interposition {

    private static final int LOST = 5;

    @Override
    public EngineClient engines(NodeSettings node, EngineClient engines) {
        return new ForwardingEngineClient(engines) {
            @Override
            public TargetStream start(EngineCall call, EngineListener listener) {
                return super.start(
                        call,
                        new Listener(listener) {
                            @Override
                            public void onPiece(int index, String text, int tokens) {
                                if (index != LOST) {
                                    super.onPiece(index < LOST ? index : index - 1, text, tokens);
                                }
                            }
                        });
            }
        };
    }
}
