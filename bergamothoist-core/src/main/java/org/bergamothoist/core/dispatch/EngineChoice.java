package org.bergamothoist.core.dispatch;

import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.platform.Target;

/**
 * The engine chosen for a completion.
 *
 * @param incarnation incarnation that the engine is believed to have
 * @param predictedCachedBlocks leading blocks of the prompt that it is believed to hold
 * @param importReplica whether the engine should import the prefix from the KV cache store first
 */
public record EngineChoice(
        Target target,
        EngineIncarnation incarnation,
        int predictedCachedBlocks,
        boolean importReplica) {}
