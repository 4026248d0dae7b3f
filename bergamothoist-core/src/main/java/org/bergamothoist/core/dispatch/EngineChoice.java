package org.bergamothoist.core.dispatch;

import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.platform.Target;

/**
 * The engine selected for a completion, with what is predicted about its prefix cache.
 *
 * @param incarnation last known incarnation of the engine
 * @param predictedCachedBlocks leading blocks of the prompt predicted to be in the engine's prefix
 *     cache
 * @param importReplica whether the engine should first import the prefix from the KV cache store
 */
public record EngineChoice(
        Target target,
        EngineIncarnation incarnation,
        int predictedCachedBlocks,
        boolean importReplica) {}
