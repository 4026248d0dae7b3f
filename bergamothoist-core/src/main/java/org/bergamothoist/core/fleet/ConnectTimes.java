package org.bergamothoist.core.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Recent times to connect to targets, by data centre. The shortest one counts, since the others
 * contain delays in the processes of either end. Confined to the control thread.
 */
final class ConnectTimes {

    /** Number of connections to a data centre that are remembered, so that a changed link shows. */
    private static final int WINDOW = 64;

    /** Number of connections from which the shortest time is taken for that of the link. */
    private static final int MINIMUM_SAMPLES = 8;

    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private final Map<String, Deque<Duration>> recent = new HashMap<>();

    void add(String dataCentre, Duration time) {
        Deque<Duration> times = recent.computeIfAbsent(dataCentre, name -> new ArrayDeque<>());
        if (times.size() == WINDOW) {
            times.removeFirst();
        }
        times.addLast(time);
    }

    /**
     * Returns by how many milliseconds a round trip to the remote data centre is longer than one
     * within the local one, or empty while too few connections to either are known.
     */
    OptionalDouble excessMilliseconds(String local, String remote) {
        Deque<Duration> near = recent.getOrDefault(local, new ArrayDeque<>());
        Deque<Duration> far = recent.getOrDefault(remote, new ArrayDeque<>());
        if (near.size() < MINIMUM_SAMPLES || far.size() < MINIMUM_SAMPLES) {
            return OptionalDouble.empty();
        }
        long excess = Collections.min(far).minus(Collections.min(near)).toNanos();
        return OptionalDouble.of(Math.max(0, excess) / NANOSECONDS_PER_MILLISECOND);
    }
}
