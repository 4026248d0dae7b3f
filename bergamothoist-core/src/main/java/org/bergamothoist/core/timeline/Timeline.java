package org.bergamothoist.core.timeline;

import java.util.List;

/** Records the events of one process in a bounded buffer. Thread-safe. */
public interface Timeline {

    /** Adds an event with the next timestamp. */
    void record(EventKind kind, String subject, String detail);

    /** Returns the timestamp to attach to an outgoing message. */
    Timestamp nextTimestamp();

    /** Advances the clock to the timestamp of a received message. */
    void observe(Timestamp remote);

    /** Returns the buffered events after the timestamp, in order. */
    List<Event> eventsAfter(Timestamp timestamp);
}
