package org.bergamothoist.core.log;

/** How current the configuration of a daemon is. */
public enum ConfigurationState {
    /** There is none yet. */
    NONE,
    /** It was confirmed shortly before. */
    FRESH,
    /** The log is down, and a majority of the daemons agrees. */
    LOG_OUTAGE,
    /** It cannot be confirmed; new requests are refused. */
    STALE
}
