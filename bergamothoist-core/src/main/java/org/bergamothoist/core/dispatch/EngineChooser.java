package org.bergamothoist.core.dispatch;

import java.util.Optional;
import java.util.Set;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.request.CompletionExchange;

/** Chooses the engine for a completion. */
@FunctionalInterface
public interface EngineChooser {

    /**
     * Returns the engine to use, or empty if none accepts the request now.
     *
     * @param excluded engines that have failed for this request
     * @param alone whether the engine must not run another suspect request
     */
    Optional<EngineChoice> choose(
            CompletionExchange exchange, Set<TargetId> excluded, boolean alone);

    /**
     * Returns the choice as it stands after a wait, or empty if the engine no longer accepts the
     * request. In the meantime it may have been restarted or be leaving.
     */
    default Optional<EngineChoice> confirm(CompletionExchange exchange, EngineChoice choice) {
        return Optional.of(choice);
    }
}
