package org.bergamothoist.core.node;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reports keys that have been absent without interruption for a grace period.
 *
 * @param <K> type of key
 */
final class AbsenceTracker<K> {

    private final InstantSource clock;
    private final Duration gracePeriod;
    private final Map<K, Instant> absentSince = new HashMap<>();

    AbsenceTracker(InstantSource clock, Duration gracePeriod) {
        this.clock = clock;
        this.gracePeriod = gracePeriod;
    }

    /**
     * Updates the tracked keys.
     *
     * @param absent all keys that are absent now
     * @return the keys whose grace period has passed; it starts again for them
     */
    List<K> update(Set<K> absent) {
        Instant now = clock.instant();
        absentSince.keySet().retainAll(absent);
        absent.forEach(key -> absentSince.putIfAbsent(key, now));
        List<K> overdue =
                absentSince.entrySet().stream()
                        .filter(entry -> !now.isBefore(entry.getValue().plus(gracePeriod)))
                        .map(Map.Entry::getKey)
                        .toList();
        // The period starts again, so that a removal whose append failed is retried.
        overdue.forEach(key -> absentSince.put(key, now));
        return overdue;
    }
}
