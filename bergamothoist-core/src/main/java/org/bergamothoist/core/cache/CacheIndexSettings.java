package org.bergamothoist.core.cache;

import java.time.Duration;

/**
 * Bounds of a {@link CacheIndex}.
 *
 * @param maximumEntries maximum number of (target, block) entries over all targets
 * @param popularityEntries number of blocks whose request counts are kept; rounded up to a power of
 *     two
 * @param popularityHalfLife time after which a request counts half
 */
public record CacheIndexSettings(
        int maximumEntries, int popularityEntries, Duration popularityHalfLife) {

    /** Maximum number of entries for a daemon with 128 MB of control memory. */
    public static final int DEFAULT_MAXIMUM_ENTRIES = 500_000;

    private static final int DEFAULT_POPULARITY_ENTRIES = 1 << 16;

    public CacheIndexSettings {
        if (maximumEntries < 1 || popularityEntries < 1) {
            throw new IllegalArgumentException(
                    "bounds of the cache index must be positive: "
                            + maximumEntries
                            + " entries, "
                            + popularityEntries
                            + " popularity entries");
        }
    }

    /** Returns the default settings. */
    public static CacheIndexSettings standard() {
        return new CacheIndexSettings(
                DEFAULT_MAXIMUM_ENTRIES, DEFAULT_POPULARITY_ENTRIES, Duration.ofSeconds(20));
    }
}
