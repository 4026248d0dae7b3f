package org.bergamothoist.core.route;

/**
 * The owner of cached prompt parts: an isolated organisation, or the group of all that share parts.
 *
 * @param key identifies the owner; printable ASCII without dots
 */
public record CacheOwner(String key) {}
