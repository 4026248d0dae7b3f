package org.bergamothoist.core.route;

import java.util.List;

/**
 * What model engines of a service have in common.
 *
 * @param batchSlots requests that an engine processes at once
 * @param cacheTokens tokens that an engine's KV cache holds
 * @param models names of the models that engines serve
 */
public record EngineTraits(int batchSlots, long cacheTokens, List<String> models) {

    public EngineTraits {
        models = List.copyOf(models);
    }
}
