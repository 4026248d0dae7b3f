package org.bergamothoist.core.node;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tells which keys have been missing without interruption for a time.
 *
 * @param <K> what may be missing
 */
final class MissingSince<K> {

    private final InstantSource clock;
    private final Duration patience;
    private final Map<K, Instant> since = new HashMap<>();

    MissingSince(InstantSource clock, Duration patience) {
        this.clock = clock;
        this.patience = patience;
    }

    /** Takes all keys that are missing now and returns those that have been for long enough. */
    List<K> update(Set<K> missing) {
        Instant now = clock.instant();
        since.keySet().retainAll(missing);
        missing.forEach(key -> since.putIfAbsent(key, now));
        List<K> overdue =
                since.entrySet().stream()
                        .filter(entry -> !now.isBefore(entry.getValue().plus(patience)))
                        .map(Map.Entry::getKey)
                        .toList();
        // Counted anew, so that a removal whose append failed is tried again later.
        overdue.forEach(key -> since.put(key, now));
        return overdue;
    }
}
