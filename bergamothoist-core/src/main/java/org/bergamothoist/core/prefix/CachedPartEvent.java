package org.bergamothoist.core.prefix;

/**
 * A change of what a store of KV cache holds.
 *
 * @param held whether the part is held from now on, or no longer
 * @param tokens tokens of the part that are held
 */
public record CachedPartEvent(boolean stored, CacheScope scope, PromptPart part, int tokens) {}
