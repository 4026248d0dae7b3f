package org.bergamothoist.core.platform;

import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.ModelKey;

/**
 * The start of an engine's response, reported before the first token.
 *
 * @param streamId identifies the stream at the engine, so that it can be resumed
 * @param cachedTokens prompt tokens that the engine took from its cache
 * @param promptTokens number of prompt tokens, as counted by the engine
 */
public record EngineResponseStart(
        EngineIncarnation incarnation,
        ModelKey modelKey,
        String streamId,
        int cachedTokens,
        int promptTokens) {}
