package org.bergamothoist.core.platform;

import java.time.Instant;
import java.util.List;
import org.bergamothoist.core.identity.EngineIncarnation;

/**
 * What an engine says of itself. Load figures lag.
 *
 * @param queuedTokens prompt tokens waiting to be computed
 * @param runningStreams streams being generated
 * @param measuredAt time of the load figures by the engine's clock
 * @param lastEventSequence sequence number of its newest cache event
 * @param leaving whether it is being drained
 * @param fencing whether it refuses orders with an old fencing number
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
