package org.bergamothoist.core.platform;

import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.ModelKey;

/**
 * What an engine reports before the first token.
 *
 * @param streamId names the stream at the engine, for resuming it
 * @param cachedTokens prompt tokens that the engine took from its cache
 * @param promptTokens the engine's own count of the prompt's tokens
 */
public record EngineResponseStart(
        EngineIncarnation incarnation,
        ModelKey modelKey,
        String streamId,
        int cachedTokens,
        int promptTokens) {}
