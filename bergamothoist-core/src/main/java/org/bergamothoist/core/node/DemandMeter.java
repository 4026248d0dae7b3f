package org.bergamothoist.core.node;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Measures demand per second, by key, over the last complete intervals. Confined to the control
 * thread.
 *
 * @param <K> type of key
 */
final class DemandMeter<K> {

    private static final Duration INTERVAL = Duration.ofSeconds(1);

    /** Number of intervals averaged, so that a low rate does not fall to 0 in an empty interval. */
    private static final int AVERAGED_INTERVALS = 5;

    private final InstantSource clock;
    private final Deque<Map<K, Long>> completeIntervals = new ArrayDeque<>();
    private Map<K, Long> current = new HashMap<>();
    private Instant intervalEnd;

    DemandMeter(InstantSource clock) {
        this.clock = clock;
        this.intervalEnd = clock.instant().plus(INTERVAL);
    }

    void add(K key, long amount) {
        completeElapsedIntervals();
        current.merge(key, amount, Long::sum);
    }

    /** Returns the amount per second in the last complete interval, for each key. */
    Map<K, Long> perSecond() {
        completeElapsedIntervals();
        return completeIntervals.isEmpty() ? Map.of() : completeIntervals.getLast();
    }

    /**
     * Returns for each key the larger of the last interval's amount and the mean of the last
     * intervals, rounded up. It follows an increase immediately, but ignores short gaps between
     * requests.
     */
    Map<K, Long> sustainedPerSecond() {
        completeElapsedIntervals();
        Map<K, Long> sustained = new HashMap<>();
        completeIntervals.forEach(
                interval ->
                        interval.forEach((key, amount) -> sustained.merge(key, amount, Long::sum)));
        sustained.replaceAll((key, sum) -> (sum + AVERAGED_INTERVALS - 1) / AVERAGED_INTERVALS);
        perSecond().forEach((key, last) -> sustained.merge(key, last, Math::max));
        return sustained;
    }

    private void completeElapsedIntervals() {
        Instant now = clock.instant();
        if (now.isBefore(intervalEnd)) {
            return;
        }
        if (!now.isBefore(intervalEnd.plus(INTERVAL.multipliedBy(AVERAGED_INTERVALS)))) {
            completeIntervals.clear();
            current = new HashMap<>();
            intervalEnd = now.plus(INTERVAL);
        }
        while (!now.isBefore(intervalEnd)) {
            completeIntervals.addLast(Map.copyOf(current));
            current = new HashMap<>();
            intervalEnd = intervalEnd.plus(INTERVAL);
            if (completeIntervals.size() > AVERAGED_INTERVALS) {
                completeIntervals.removeFirst();
            }
        }
    }
}
