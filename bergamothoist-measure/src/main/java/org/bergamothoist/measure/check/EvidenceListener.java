package org.bergamothoist.measure.check;

import org.bergamothoist.core.platform.EngineListener;
import org.bergamothoist.core.platform.EngineResponseStart;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetFailure;

/** Notes which incarnations answers have shown to a node. */
record EvidenceListener(Target target, EngineListener next, CacheOracle oracle)
        implements EngineListener {

    @Override
    public void onSending() {
        next.onSending();
    }

    @Override
    public void onStarted(EngineResponseStart start) {
        oracle.evidence(target.id(), start.incarnation());
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
