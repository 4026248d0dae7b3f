package org.bergamothoist.core.feed;

/** A sequence of keyed records in the platform's store, of which the newest of each key counts. */
public enum Feed {
    /** The operators' configuration and the versions of weights that they name. */
    OPERATOR,
    /** Registrations of targets. */
    TARGETS,
    /** Where daemons can be found. */
    DAEMONS
}
