package org.bergamothoist.core.timeline;

import org.bergamothoist.core.identity.DaemonId;

/**
 * An event in the timeline.
 *
 * @param subject identifier of the object that the event concerns, for example a request or target
 * @param detail text for operators; must not contain secrets or callers' data
 */
public record Event(
        Timestamp timestamp, DaemonId daemon, EventKind kind, String subject, String detail) {}
