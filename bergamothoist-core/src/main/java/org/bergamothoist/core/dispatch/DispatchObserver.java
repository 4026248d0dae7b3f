package org.bergamothoist.core.dispatch;

import java.time.Duration;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.platform.EngineResponseStart;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.request.CompletionExchange;

/** Receives the events of dispatched completions. Called on the control thread. */
public interface DispatchObserver {

    /** Reports that a completion is about to be sent to the chosen engine. */
    void onDispatched(CompletionExchange exchange, EngineChoice choice);

    /**
     * Reports that a stream is about to be resumed at the engine that runs it. This adds no work,
     * so it is allowed for engines that are leaving.
     */
    void onResumed(CompletionExchange exchange, Target target);

    /** Reports the head of an engine's response. */
    void onResponseStarted(CompletionExchange exchange, Target target, EngineResponseStart start);

    /** Reports the first token of a response and its latency since the dispatch. */
    void onFirstToken(CompletionExchange exchange, Target target, Duration timeToFirstToken);

    /** Reports that an attempt has ended, successfully or not. */
    void onAttemptEnded(CompletionExchange exchange, Target target);

    /** Reports that no connection to a target could be established. */
    void onConnectionFailed(Target target);

    /** Reports that an engine refused a request. */
    void onRefused(Target target);

    /** Reports that an incarnation of an engine was lost. */
    void onEngineLost(Target target, EngineIncarnation incarnation);
}
