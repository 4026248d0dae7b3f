package org.bergamothoist.measure.check;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.bergamothoist.core.time.VirtualTimeScheduler;

/** Collects what happens in one run. */
final class RunLog {

    private static final int KEPT_EVENTS = 120;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final VirtualTimeScheduler time;
    private final Instant start;
    private final SortedMap<String, Long> counts = new TreeMap<>();
    private final Deque<String> events = new ArrayDeque<>();
    private final List<Violation> violations = new ArrayList<>();
    private final Set<Property> broken = EnumSet.noneOf(Property.class);
    private final long seed;
    private long steps;
    private long digest = FNV_OFFSET;

    RunLog(VirtualTimeScheduler time, long seed) {
        this.time = time;
        this.start = time.instant();
        this.seed = seed;
    }

    void step() {
        steps++;
    }

    void count(String name) {
        counts.merge(name, 1L, Long::sum);
    }

    Duration now() {
        return Duration.between(start, time.instant());
    }

    /** Records an observation. */
    void note(String text) {
        String line = now().toMillis() + " ms: " + text;
        for (int index = 0; index < line.length(); index++) {
            digest = (digest ^ line.charAt(index)) * FNV_PRIME;
        }
        if (events.size() == KEPT_EVENTS) {
            events.removeFirst();
        }
        events.addLast(line);
    }

    /** Records a violation; only the first of each property is kept, the others follow from it. */
    void violated(Property property, String detail) {
        note("VIOLATED " + property + ": " + detail);
        count("violations." + property);
        if (broken.add(property)) {
            violations.add(new Violation(property, seed, now(), detail, List.copyOf(events)));
        }
    }

    void check(Property property, boolean holds, String detail) {
        if (!holds) {
            violated(property, detail);
        }
    }

    List<Violation> violations() {
        return violations;
    }

    SortedMap<String, Long> counts() {
        return counts;
    }

    long steps() {
        return steps;
    }

    long digest() {
        return digest;
    }
}
