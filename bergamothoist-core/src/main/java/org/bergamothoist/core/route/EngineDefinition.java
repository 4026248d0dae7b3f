package org.bergamothoist.core.route;

/**
 * What model engines of a service have in common.
 *
 * @param cacheTokens tokens that an engine's KV cache holds
 */
public record EngineDefinition(long cacheTokens) {}
