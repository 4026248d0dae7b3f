package org.bergamothoist.core.node;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Measures rates by key over the last complete intervals. Confined to the control thread.
 *
 * @param <K> what is counted
 */
final class DemandMeter<K> {

    private static final Duration INTERVAL = Duration.ofSeconds(1);

    /** Intervals of the mean that keeps a few requests a second from falling to 0 by chance. */
    private static final int INTERVALS = 5;

    private final InstantSource clock;
    private final Deque<Map<K, Long>> history = new ArrayDeque<>();
    private Map<K, Long> current = new HashMap<>();
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
        return history.isEmpty() ? Map.of() : history.getLast();
    }

    /**
     * Returns for each key the larger of the amount of the last complete interval and the mean of
     * the last intervals, rounded up: it follows a rise at once and does not fall with each gap
     * between requests.
     */
    Map<K, Long> sustainedPerSecond() {
        roll();
        Map<K, Long> sustained = new HashMap<>();
        history.forEach(
                interval -> interval.forEach((key, n) -> sustained.merge(key, n, Long::sum)));
        sustained.replaceAll((key, sum) -> (sum + INTERVALS - 1) / INTERVALS);
        perSecond().forEach((key, last) -> sustained.merge(key, last, Math::max));
        return sustained;
    }

    private void roll() {
        Instant now = clock.instant();
        if (now.isBefore(intervalEnd)) {
            return;
        }
        if (!now.isBefore(intervalEnd.plus(INTERVAL.multipliedBy(INTERVALS)))) {
            history.clear();
            current = new HashMap<>();
            intervalEnd = now.plus(INTERVAL);
        }
        while (!now.isBefore(intervalEnd)) {
            history.addLast(Map.copyOf(current));
            current = new HashMap<>();
            intervalEnd = intervalEnd.plus(INTERVAL);
            if (history.size() > INTERVALS) {
                history.removeFirst();
            }
        }
    }
}
