package org.bergamothoist.core.dispatch;

import java.time.Duration;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.platform.EngineResponseStart;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.request.CompletionExchange;

/** Learns from dispatches; called on the control thread. */
public interface DispatchObserver {

    /** Reports that a completion is about to be sent. */
    void onDispatched(CompletionExchange exchange, EngineChoice choice);

    /**
     * Reports that a stream is about to be resumed at the engine that runs it. This is no new work,
     * so a leaving engine may get it.
     */
    void onResumed(CompletionExchange exchange, Target target);

    /** Reports the head of an engine's answer. */
    void onAnswerStarted(CompletionExchange exchange, Target target, EngineResponseStart start);

    /** Reports the first token and the time since the dispatch. */
    void onFirstPiece(CompletionExchange exchange, Target target, Duration sinceDispatch);

    /** Reports that a dispatch has ended in any way. */
    void onEnded(CompletionExchange exchange, Target target);

    /** Reports that a target could not be connected to. */
    void onConnectionFailed(Target target);

    /** Reports that an engine refused work. */
    void onRefused(Target target);

    /** Reports that a run of an engine was lost. */
    void onEngineLost(Target target, EngineIncarnation incarnation);
}
