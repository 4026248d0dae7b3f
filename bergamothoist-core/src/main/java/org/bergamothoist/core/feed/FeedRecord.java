package org.bergamothoist.core.feed;

import java.util.Optional;

/**
 * A record of a {@link Feed}.
 *
 * @param position position of the record in the feed
 * @param value content, or empty for a tombstone, which deletes the key
 */
public record FeedRecord(String key, LogPosition position, Optional<byte[]> value) {

    /** Creates a record of a store that announces no era. */
    public FeedRecord(String key, long offset, Optional<byte[]> value) {
        this(key, new LogPosition(0, offset), value);
    }

    /** Returns the offset of the record in its era. */
    public long offset() {
        return position.offset();
    }
}
