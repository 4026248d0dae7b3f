package org.bergamothoist.core.log;

/** Whether a daemon may serve requests under the configuration that it has. */
public enum ConfigurationState {
    /** The daemon has not read any configuration yet. */
    NONE,
    /** The configuration was confirmed as current within the freshness window. */
    FRESH,
    /**
     * The log is unreachable, but the latest information from a majority of the roster is recent
     * and no peer is known to have a newer configuration.
     */
    LOG_OUTAGE,
    /** The configuration cannot be confirmed as current; new requests are refused. */
    STALE
}
