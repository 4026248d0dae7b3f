package org.bergamothoist.core.time;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.Optional;

/**
 * A bounded number of recent durations: their median, which single outliers do not change, and
 * their maximum. Confined to the control thread.
 */
public final class RecentDurations {

    private final int window;
    private final Deque<Duration> recent = new ArrayDeque<>();

    /**
     * Creates an empty window.
     *
     * @param window number of durations that are kept
     */
    public RecentDurations(int window) {
        this.window = window;
    }

    /** Adds a duration; the oldest one is dropped if the window is full. */
    public void add(Duration duration) {
        if (recent.size() == window) {
            recent.removeFirst();
        }
        recent.addLast(duration);
    }

    /** Returns the median of the durations in the window, or empty if there are none. */
    public Optional<Duration> median() {
        return medianOf(recent);
    }

    /** Returns the longest of the durations in the window, or empty if there are none. */
    public Optional<Duration> maximum() {
        return recent.stream().max(Comparator.naturalOrder());
    }

    /** Returns the median; of an even number of durations the upper one of the middle. */
    public static Optional<Duration> medianOf(Collection<Duration> durations) {
        return durations.stream().sorted().skip(durations.size() / 2).findFirst();
    }
}
