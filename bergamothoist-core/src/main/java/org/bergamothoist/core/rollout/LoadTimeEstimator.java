package org.bergamothoist.core.rollout;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.bergamothoist.core.time.RecentDurations;

/**
 * Learns how long engines take to load weights, and at how many concurrent loads they slow each
 * other down. Estimates are medians over a bounded number of recent loads, so that single outliers
 * do not change them; only the first poll of an engine follows the shortest of these loads.
 * Confined to the control thread.
 */
public final class LoadTimeEstimator {

    /** Number of recent loads that are kept. */
    private static final int WINDOW = 32;

    /** Loads on either side of a comparison below which it is not made. */
    private static final int MINIMUM_COMPARED_LOADS = 3;

    /** Ratio of the median load times at many and at few concurrent loads that counts as slower. */
    private static final double SLOWER_RATIO = 1.5;

    /** Time to the first poll of the first load, while nothing is known of its duration. */
    private static final Duration FIRST_POLL_WITHOUT_ESTIMATE = Duration.ofMillis(250);

    /**
     * Part of the shortest recent load after which an engine is polled. What is observed is never
     * shorter than the first poll, so that the estimate falls by up to this factor with each load.
     */
    private static final double FIRST_POLL_SHARE = 0.6;

    /** Part of the time since the order that passes until the next poll. */
    private static final double POLL_SHARE = 0.08;

    /** The same while nothing is known of the duration of loads. */
    private static final double POLL_SHARE_WITHOUT_ESTIMATE = 0.25;

    private static final Duration MINIMUM_POLL_INTERVAL = Duration.ofMillis(120);
    private static final Duration MAXIMUM_POLL_INTERVAL = Duration.ofMillis(400);

    private final Deque<Load> recent = new ArrayDeque<>();

    private record Load(Duration duration, int concurrentLoads) {}

    /**
     * Adds a completed load.
     *
     * @param duration time from the order to the first report of its end
     * @param concurrentLoads maximum number of loads in progress meanwhile, itself included
     */
    public void add(Duration duration, int concurrentLoads) {
        if (recent.size() == WINDOW) {
            recent.removeFirst();
        }
        recent.addLast(new Load(duration, concurrentLoads));
    }

    /** Returns the median load time, or empty before the first load. */
    public Optional<Duration> loadTime() {
        return RecentDurations.medianOf(recent.stream().map(Load::duration).toList());
    }

    /** Returns the time from an order to the first poll of the engine. */
    public Duration firstPollDelay() {
        return recent.stream()
                .map(Load::duration)
                .min(Duration::compareTo)
                .map(shortest -> multiply(shortest, FIRST_POLL_SHARE))
                .orElse(FIRST_POLL_WITHOUT_ESTIMATE);
    }

    /**
     * Returns the time to the next poll of an engine that was still loading.
     *
     * @param sinceOrder time since the engine was ordered to load
     */
    public Duration pollInterval(Duration sinceOrder) {
        double share = recent.isEmpty() ? POLL_SHARE_WITHOUT_ESTIMATE : POLL_SHARE;
        Duration interval = multiply(sinceOrder, share);
        if (interval.compareTo(MINIMUM_POLL_INTERVAL) < 0) {
            return MINIMUM_POLL_INTERVAL;
        }
        return interval.compareTo(MAXIMUM_POLL_INTERVAL) > 0 ? MAXIMUM_POLL_INTERVAL : interval;
    }

    /**
     * Returns the number of concurrent loads up to which loads were not slower than at fewer, at
     * most the given one.
     */
    public int fastConcurrency(int maximum) {
        int concurrency = 1;
        while (concurrency < maximum && !isSlower(concurrency + 1)) {
            concurrency++;
        }
        return concurrency;
    }

    private boolean isSlower(int concurrency) {
        List<Duration> atConcurrency =
                recent.stream()
                        .filter(load -> load.concurrentLoads() >= concurrency)
                        .map(Load::duration)
                        .toList();
        List<Duration> below =
                recent.stream()
                        .filter(load -> load.concurrentLoads() < concurrency)
                        .map(Load::duration)
                        .toList();
        if (atConcurrency.size() < MINIMUM_COMPARED_LOADS
                || below.size() < MINIMUM_COMPARED_LOADS) {
            return false;
        }
        Duration slow = RecentDurations.medianOf(atConcurrency).orElseThrow();
        Duration fast = RecentDurations.medianOf(below).orElseThrow();
        return slow.compareTo(multiply(fast, SLOWER_RATIO)) > 0;
    }

    private static Duration multiply(Duration duration, double factor) {
        return Duration.ofMillis(Math.round(duration.toMillis() * factor));
    }
}
