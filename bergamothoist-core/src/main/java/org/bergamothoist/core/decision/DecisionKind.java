package org.bergamothoist.core.decision;

/** The kinds of decisions and events in the decision log. */
public enum DecisionKind {
    /** The process starts. */
    DAEMON_STARTED,
    /** The process accepts no new requests. */
    DAEMON_STOPPING,
    /** The process ends. */
    DAEMON_STOPPED,
    /** The process did not run for a while. */
    DAEMON_PAUSED,
    /** The daemon began or ceased to read the store itself, or the readers changed. */
    STORE_READERS_CHANGED,
    /** The settings were reloaded. */
    SETTINGS_RELOADED,
    /** An external system can no longer be reached. */
    DEPENDENCY_LOST,
    /** An external system can be reached again. */
    DEPENDENCY_REGAINED,
    /** The platform's store came back from an older copy, so that offsets are given out again. */
    STORE_FELL_BACK,
    /** Other daemons were asked for records that the platform's store may have lost. */
    RECORDS_RECOVERED,
    /** A new version of the configuration took effect. */
    CONFIGURATION_ACCEPTED,
    /** A target was added, changed its state or was removed. */
    TARGET_CHANGED,
    /** A record or message was ignored because it could not be used. */
    RECORD_IGNORED,
    /** Another daemon started or stopped sending reports. */
    DAEMON_CHANGED,
    /** Other daemons than before take callers' requests. */
    CALLER_DAEMONS_CHANGED,
    /** A new weight version of a model was announced. */
    WEIGHTS_NAMED,
    /** The lease that allows sending orders to targets was acquired, renewed or lost. */
    LEASE_CHANGED,
    /** An order was sent to an engine, or its result was received. */
    ORDER,
    /** A request waits because no target has room for it, or its wait has ended. */
    REQUEST_WAITING,
    /** A request was sent to a target. */
    REQUEST_DISPATCHED,
    /**
     * Requests of a service begin or cease to leave the data centre because its targets are full.
     */
    DATA_CENTRE_CROSSING,
    /** A target has been silent for long; its request waits, or is sent to another one as well. */
    TARGET_SILENT,
    /** An attempt at a target failed. */
    ATTEMPT_FAILED,
    /** A peer's connection was closed because of bytes that answer no request. */
    BYTES_BEHIND_ANSWER,
    /** A target answered another request than the one in progress. */
    ANSWER_TO_OTHER_REQUEST,
    /** An answer that names no request was rejected, since it may be that to an earlier one. */
    ANSWER_WITHOUT_IDENTIFIER,
    /** The head of an answer contained the start of another one. */
    ANSWER_HEADS_JOINED,
    /** Connections to a peer are closed after each answer, because its answers are ambiguous. */
    CONNECTIONS_NOT_KEPT,
    /** Engines were separated for long prompts and urgent streams, or no longer are. */
    STREAMS_SEPARATED,
    /** The learned speed of an engine changed considerably. */
    ENGINE_SPEED_LEARNED,
    /** It was found out whether a target whose connection broke still runs. */
    TARGET_LOSS_CHECKED,
    /** A target was asked, or could not be asked, whether its process lives on. */
    LIVENESS_CHECKED,
    /** It was decided whether an answer is whole whose end only that of its connection shows. */
    ANSWER_END_CHECKED,
    /** A loss of a target was counted for a content that it ran. */
    CONTENT_SUSPECTED,
    /** A content is refused from now on. */
    CONTENT_QUARANTINED,
    /** The losses of a content no longer count. */
    CONTENT_CLEARED,
    /** A request finished. */
    REQUEST_ENDED,
    /**
     * A stopping daemon's connection to a caller ended before the bytes of an answer that was
     * complete here were all written.
     */
    ANSWER_UNWRITTEN,
    /** A request was rejected without being sent to a target. */
    REQUEST_REFUSED,
    /** This daemon began or ended to refuse an organisation's requests for its quota. */
    QUOTA_CHANGED,
    /** Bytes of a peer were given up because all peers' bytes together exceed their limit. */
    MEMORY_EXHAUSTED,
    /** A caller's connection was closed because of an error of the caller. */
    CALLER_FAULT,
    /** Lines were dropped to limit the volume of the log. */
    LINES_SUPPRESSED
}
