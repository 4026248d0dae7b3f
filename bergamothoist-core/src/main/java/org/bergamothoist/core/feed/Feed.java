package org.bergamothoist.core.feed;

/**
 * A compacted log of keyed records in the platform's store: the newest record of a key replaces the
 * older ones.
 */
public enum Feed {
    /** The operators' configuration and the versions of weights that engines should load. */
    OPERATOR,
    /** Registrations of targets. */
    TARGETS,
    /** Addresses of daemons. */
    DAEMONS
}
