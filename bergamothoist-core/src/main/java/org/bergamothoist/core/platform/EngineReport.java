package org.bergamothoist.core.platform;

import java.time.Instant;
import java.util.List;
import org.bergamothoist.core.identity.EngineIncarnation;

/**
 * An engine's report of its own state. Load figures are delayed.
 *
 * @param models loaded models and those being loaded
 * @param queuedTokens number of prompt tokens waiting to be computed
 * @param runningStreams number of streams being generated
 * @param measuredAt time at which the load was measured, by the engine's clock
 * @param lastEventSequence sequence number of the newest cache event
 * @param leaving whether the engine is being drained
 * @param fencing whether the engine rejects orders with an outdated fencing number
 */
public record EngineReport(
        EngineIncarnation incarnation,
        List<LoadedModel> models,
        long queuedTokens,
        int runningStreams,
        Instant measuredAt,
        long lastEventSequence,
        boolean leaving,
        boolean fencing) {

    public EngineReport {
        models = List.copyOf(models);
    }
}
