package org.bergamothoist.core.prefix;

/**
 * A change of the prompt parts that a KV cache holds.
 *
 * @param stored whether the part was stored, as opposed to removed
 * @param tokens number of tokens of the part that are cached
 */
public record CachedPartEvent(boolean stored, CacheScope scope, PromptPart part, int tokens) {}
