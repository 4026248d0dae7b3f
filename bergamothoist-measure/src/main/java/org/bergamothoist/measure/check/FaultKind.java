package org.bergamothoist.measure.check;

/** Faults that a run injects. */
enum FaultKind {
    /** A daemon crashes and is started again after the length. */
    DAEMON_CRASH,
    /** All daemons crash at once and are started again. */
    ALL_DAEMONS_RESTART,
    /** A daemon's process stands still. */
    DAEMON_PAUSE,
    /** A daemon is stopped as planned and started again. */
    PLANNED_STOP,
    /** A daemon's VM is replaced by another one with another name and address. */
    MACHINE_REPLACEMENT,
    /** An engine crashes and comes back empty. */
    ENGINE_CRASH,
    /** An engine crashes and comes back without models, so that orders must load them. */
    ENGINE_CRASH_WITHOUT_MODELS,
    /** An engine stands still. */
    ENGINE_FREEZE,
    /** An engine leaves and is replaced. */
    ENGINE_LEAVING,
    /** Connections to an engine break. */
    CONNECTION_RESET,
    /** Cache events of an engine are lost. */
    EVENT_LOSS,
    /** An instance of a plain service crashes and comes back. */
    SERVICE_CRASH,
    /** An instance of a plain service stands still. */
    SERVICE_FREEZE,
    /** An instance of a plain service leaves and is replaced. */
    SERVICE_LEAVING,
    /** Reads of the log fail. */
    LOG_READS_DOWN,
    /** Appends to the log fail. */
    LOG_APPENDS_DOWN,
    /** Reads and appends fail. */
    LOG_DOWN,
    /** The log is slow. */
    LOG_SLOW,
    /** Answers to appends are lost after the append took effect. */
    LOG_LOSES_ANSWERS,
    /** Appends fail and take effect later. */
    LOG_DELAYS_APPENDS,
    /** Some daemons cannot reach the log. */
    LOG_CUT_OFF,
    /** The log expires what the last checkpoint covers. */
    LOG_RETENTION,
    /** Messages between daemons are lost. */
    PEER_LOSS,
    /** Messages between daemons are late. */
    PEER_DELAY,
    /** Messages between daemons arrive twice. */
    PEER_DUPLICATION,
    /** Two groups of daemons cannot reach each other. */
    PARTITION,
    /** The platform's list does not answer. */
    MACHINE_LIST_DOWN
}
