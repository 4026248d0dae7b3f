package org.bergamothoist.core.timeline;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * Merges the timelines of several daemons in causal order. Messages carry timestamps, so that an
 * event caused by a message sorts after the event that sent it, even if the wall clocks differ.
 */
public final class TimelineMerger {

    private static final Comparator<Event> ORDER =
            Comparator.comparing(Event::timestamp).thenComparing(Event::daemon);

    private TimelineMerger() {}

    /** Returns the distinct events in causal order; concurrent events are ordered by timestamp. */
    public static List<Event> merge(Collection<List<Event>> timelines) {
        LinkedHashSet<Event> distinct = new LinkedHashSet<>();
        timelines.forEach(distinct::addAll);
        List<Event> merged = new ArrayList<>(distinct);
        merged.sort(ORDER);
        return List.copyOf(merged);
    }
}
