package org.bergamothoist.core.error;

/** The cause of a failure, as given in responses, logs and the timeline. */
public enum ErrorCode {
    /** The organisation's key is missing or unknown. */
    UNAUTHENTICATED,
    /** The request is malformed. */
    INVALID_REQUEST,
    /** A body, header or prompt exceeds its maximum size. */
    TOO_LARGE,
    /**
     * The accepted sheets do not entitle the organisation to the model, adapter, version or
     * service.
     */
    NOT_ENTITLED,
    /** A limit of the organisation is reached, or a queue is full. */
    LIMIT_EXCEEDED,
    /** The deadline would pass before the first token. */
    DEADLINE_UNREACHABLE,
    /** The deadline passed after the request was sent to a target. */
    DEADLINE_EXCEEDED,
    /** No target with the model or service accepts work. */
    NO_TARGET,
    /** The daemon cannot confirm that its configuration is current. */
    CONFIGURATION_STALE,
    /** The daemon has no configuration yet. */
    NOT_READY,
    /** The log cannot be reached, so that no claim can be acquired. */
    LOG_UNAVAILABLE,
    /** The log has come back from an older copy without records that the daemon has applied. */
    LOG_FELL_BACK,
    /** The identifier of a non-idempotent request is outside the deduplication window. */
    REQUEST_IDENTIFIER_EXPIRED,
    /** A non-idempotent request has no identifier. */
    REQUEST_IDENTIFIER_REQUIRED,
    /** Another attempt of this request holds its claim. */
    REQUEST_ALREADY_CLAIMED,
    /** An earlier attempt of this request was answered. */
    REQUEST_ALREADY_ANSWERED,
    /** The request's content has crashed engines. */
    REQUEST_QUARANTINED,
    /** The target failed after the request was sent. */
    TARGET_FAILED,
    /** The target did not respond in time after the request was sent. */
    TARGET_TIMEOUT,
    /** The retry budget is exhausted. */
    RETRY_BUDGET_EXHAUSTED,
    /** The caller cancelled the request or closed its connection. */
    CANCELLED,
    /** The resume token is forged, expired or belongs to another organisation or request. */
    INVALID_RESUME_TOKEN,
    /** The stream can no longer be resumed. */
    STREAM_LOST,
    /** The daemon is stopping. */
    STOPPING,
    /** A setting is missing or invalid. */
    INVALID_SETTINGS,
    /** A sheet is invalid. */
    INVALID_SHEET,
    /** A sheet is based on an older version than the current one. */
    SHEET_CONFLICT,
    /** A message between daemons is malformed or not authentic. */
    INVALID_PEER_MESSAGE,
    /** An external system responded with an error or did not respond. */
    PLATFORM_UNAVAILABLE,
    /** A guarantee was violated. */
    INVARIANT_VIOLATED,
    /** An unexpected failure inside the daemon. */
    INTERNAL
}
