package org.bergamothoist.gateway.caller;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.bergamothoist.core.time.RecentDurations;

/** Times from the send of a request to the end of its answer. Confined to the event loop. */
final class AnswerTimes {

    /** Number of answers of a route, and of a target on a route, that are remembered. */
    private static final int WINDOW = 16;

    /** Number of pairs of route and target that are remembered. */
    private static final int MAXIMUM_PAIRS = 1_000;

    private final Map<String, RecentDurations> byRoute = bounded();
    private final Map<String, RecentDurations> byTarget = bounded();

    private static Map<String, RecentDurations> bounded() {
        return new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, RecentDurations> eldest) {
                return size() > MAXIMUM_PAIRS;
            }
        };
    }

    void record(String route, String target, Duration time) {
        byRoute.computeIfAbsent(route, key -> new RecentDurations(WINDOW)).add(time);
        byTarget.computeIfAbsent(pair(route, target), key -> new RecentDurations(WINDOW)).add(time);
    }

    /**
     * Returns the longest of the recent times of a route, at any target and at the given one; empty
     * if none is known.
     */
    Optional<Duration> longest(String route, String target) {
        return Stream.of(byRoute.get(route), byTarget.get(pair(route, target)))
                .flatMap(Stream::ofNullable)
                .flatMap(times -> times.maximum().stream())
                .max(Duration::compareTo);
    }

    private static String pair(String route, String target) {
        return route + "/" + target;
    }
}
