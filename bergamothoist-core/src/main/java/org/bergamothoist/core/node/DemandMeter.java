package org.bergamothoist.core.node;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;

/**
 * Measures rates by key over the last complete interval. Confined to the control thread.
 *
 * @param <K> what is counted
 */
final class DemandMeter<K> {

    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final InstantSource clock;
    private Map<K, Long> current = new HashMap<>();
    private Map<K, Long> previous = Map.of();
    private Instant intervalEnd;

    DemandMeter(InstantSource clock) {
        this.clock = clock;
        this.intervalEnd = clock.instant().plus(INTERVAL);
    }

    void add(K key, long amount) {
        roll();
        current.merge(key, amount, Long::sum);
    }

    /** Returns amounts a second of the last complete interval. */
    Map<K, Long> perSecond() {
        roll();
        return previous;
    }

    private void roll() {
        Instant now = clock.instant();
        if (now.isBefore(intervalEnd)) {
            return;
        }
        boolean adjacent = now.isBefore(intervalEnd.plus(INTERVAL));
        previous = adjacent ? Map.copyOf(current) : Map.of();
        current = new HashMap<>();
        intervalEnd = now.plus(INTERVAL);
    }
}
