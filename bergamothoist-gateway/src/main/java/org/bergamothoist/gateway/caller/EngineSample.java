package org.bergamothoist.gateway.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.bergamothoist.core.fleet.OutstandingWork;
import org.bergamothoist.core.prefix.RequestObservation;

/**
 * Adds one attempt to the load of its target and, if that is an engine, measures the engine by it.
 * Confined to the event loop.
 */
final class EngineSample {

    private final ExchangeDependencies dependencies;
    private final TargetSelector.Selection selection;
    private final Optional<RequestObservation> observation;

    EngineSample(
            ExchangeDependencies dependencies,
            TargetSelector.Selection selection,
            RequestContext request) {
        this.dependencies = dependencies;
        this.selection = selection;
        this.observation = dependencies.targetSelector().observation(request, selection);
    }

    private OutstandingWork load() {
        return selection.state().load();
    }

    /** Returns the tokens that count against the memory of the target, 0 if it has no limit. */
    private long limitedMemoryTokens() {
        return selection.terms().engineMemoryTokens().isPresent() ? selection.memoryTokens() : 0;
    }

    void onStarted() {
        load().addRequest(
                        selection.prefillTokens(),
                        limitedMemoryTokens(),
                        selection.terms().urgentStream());
        observation.ifPresent(engine -> engine.onStarted(dependencies.clock().instant()));
    }

    void onSent(Instant now) {
        observation.ifPresent(engine -> engine.onSent(now));
    }

    /** Records the first bytes of the answer, after which the target's prefill is complete. */
    void onFirstBytes(boolean successful, Instant now) {
        if (successful) {
            observation.ifPresent(engine -> engine.onFirstBytes(now));
        }
    }

    void onEvents(Instant now) {
        observation.ifPresent(engine -> engine.onEvents(now));
    }

    /** Records a complete answer, whose first byte arrived the given time ago. */
    void onCompleted(Duration sinceFirstByte) {
        TargetSelector selector = dependencies.targetSelector();
        selector.recordCompletion(selection, sinceFirstByte);
        observation.ifPresent(
                engine -> engine.onCompleted(selector.slotTime(selection, sinceFirstByte)));
    }

    void onEnded() {
        load().removeRequest(limitedMemoryTokens(), selection.terms().urgentStream());
        observation.ifPresent(engine -> engine.onEnded(dependencies.clock().instant()));
    }
}
