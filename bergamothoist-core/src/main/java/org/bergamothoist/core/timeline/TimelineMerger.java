package org.bergamothoist.core.timeline;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * Merges the events of several daemons. An event that another one caused through a message comes
 * after it, even if the daemons' wall clocks differ, since stamps travel with messages.
 */
public final class TimelineMerger {

    private static final Comparator<Event> ORDER =
            Comparator.comparing(Event::timestamp).thenComparing(Event::daemon);

    private TimelineMerger() {}

    /** Returns all events once, in causal order; concurrent events are ordered by stamp. */
    public static List<Event> merge(Collection<List<Event>> timelines) {
        LinkedHashSet<Event> distinct = new LinkedHashSet<>();
        timelines.forEach(distinct::addAll);
        List<Event> merged = new ArrayList<>(distinct);
        merged.sort(ORDER);
        return List.copyOf(merged);
    }
}
