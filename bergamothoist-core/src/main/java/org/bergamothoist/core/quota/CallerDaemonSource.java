package org.bergamothoist.core.quota;

import java.util.Set;

/** What this daemon knows of the daemons that take callers' requests and share the limits. */
public interface CallerDaemonSource {

    /** Returns the names of the daemons, among them this one if it takes requests. */
    Set<String> names();

    /** Returns the number of daemons to assume while no report of another one has arrived. */
    int assumedCount();
}
