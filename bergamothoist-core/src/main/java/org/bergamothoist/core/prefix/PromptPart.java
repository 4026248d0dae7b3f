package org.bergamothoist.core.prefix;

/**
 * A part of a prompt that several requests may have in common.
 *
 * @param id identifies the part's content
 * @param tokens number of tokens of the part
 */
public record PromptPart(String id, int tokens) {}
