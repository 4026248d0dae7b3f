package org.bergamothoist.core.timeline;

import java.util.List;

/** Records events of one process in a bounded buffer. Safe for use by several threads. */
public interface Timeline {

    /** Adds an event with the current stamp. */
    void record(EventKind kind, String subject, String detail);

    /** Returns the stamp for an outgoing message. */
    Timestamp nextTimestamp();

    /** Moves the clock past the stamp of a received message. */
    void observe(Timestamp remote);

    /** Returns the buffered events after the stamp, in order. */
    List<Event> eventsAfter(Timestamp timestamp);
}
