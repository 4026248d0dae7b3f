package org.bergamothoist.core.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.bergamothoist.core.time.RecentDurations;

/** Times from the send of requests to the end of their responses, by route or service. */
public final class ServiceTimes {

    /** Number of responses that the median is taken of. */
    private static final int WINDOW = 64;

    private final Map<String, RecentDurations> times = new HashMap<>();

    /** Adds the time of a response. */
    public void add(String name, Duration time) {
        times.computeIfAbsent(name, key -> new RecentDurations(WINDOW)).add(time);
    }

    /** Returns the median of the recent times, or empty if there are none. */
    public Optional<Duration> median(String name) {
        return Optional.ofNullable(times.get(name)).flatMap(RecentDurations::median);
    }
}
