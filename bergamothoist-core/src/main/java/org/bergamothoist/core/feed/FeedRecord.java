package org.bergamothoist.core.feed;

import java.util.Optional;

/**
 * A record of a {@link Feed}.
 *
 * @param offset position of the record in the feed
 * @param value content, or empty for a tombstone, which deletes the key
 */
public record FeedRecord(String key, long offset, Optional<byte[]> value) {}
