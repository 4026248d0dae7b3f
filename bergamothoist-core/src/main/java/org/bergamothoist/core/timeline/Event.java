package org.bergamothoist.core.timeline;

import org.bergamothoist.core.identity.DaemonId;

/**
 * An entry of the time line.
 *
 * @param subject identifier of what the event is about, for example a request or a target
 * @param detail text for people, without secrets and without callers' content
 */
public record Event(
        Timestamp timestamp, DaemonId daemon, EventKind kind, String subject, String detail) {}
