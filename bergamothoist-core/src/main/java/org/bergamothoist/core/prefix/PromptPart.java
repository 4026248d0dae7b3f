package org.bergamothoist.core.prefix;

/**
 * A part of a prompt that requests may share.
 *
 * @param id names the part's content
 * @param tokens its size
 */
public record PromptPart(String id, int tokens) {}
