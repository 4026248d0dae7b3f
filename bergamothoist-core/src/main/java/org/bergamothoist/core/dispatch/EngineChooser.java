package org.bergamothoist.core.dispatch;

import java.util.Optional;
import java.util.Set;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.request.CompletionExchange;

/** Selects the engine for a completion. */
@FunctionalInterface
public interface EngineChooser {

    /**
     * Returns the engine to use, or empty if no engine accepts the request at present.
     *
     * @param excluded engines that have failed for this request
     * @param isolated whether the request is suspect and so needs an engine that runs no other
     *     suspect request
     */
    Optional<EngineChoice> choose(
            CompletionExchange exchange, Set<TargetId> excluded, boolean isolated);

    /**
     * Revalidates a choice after a wait, in which the engine may have been restarted or have
     * started to leave. Returns the updated choice, or empty if the engine no longer accepts the
     * request.
     */
    default Optional<EngineChoice> confirm(CompletionExchange exchange, EngineChoice choice) {
        return Optional.of(choice);
    }
}
