package org.bergamothoist.core.feed;

import java.util.Optional;

/**
 * A record of a feed.
 *
 * @param value empty if the key was dropped
 */
public record FeedRecord(String key, long offset, Optional<byte[]> value) {}
