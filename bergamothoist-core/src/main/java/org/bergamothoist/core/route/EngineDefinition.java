package org.bergamothoist.core.route;

/**
 * Properties that all model engines of a service have in common.
 *
 * @param cacheTokens capacity of an engine's KV cache in tokens
 */
public record EngineDefinition(long cacheTokens) {}
