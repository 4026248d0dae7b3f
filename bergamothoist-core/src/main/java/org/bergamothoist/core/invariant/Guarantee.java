package org.bergamothoist.core.invariant;

/** The guarantees of the system, which {@code docs/promises.md} describes. */
public enum Guarantee {
    /**
     * Cache entries of a dead engine, another organisation or older weights are never relied on.
     */
    CACHE_ISOLATION,
    /** Streams are delivered complete and in order. */
    STREAM_ORDER,
    /** A restarted daemon serves requests immediately. */
    WARM_RESTART,
    /** Each caller receives the complete response to its own request and to no other. */
    ANSWER_OWNERSHIP,
    /** A request reported as "not run" has not run and will not run. */
    NOT_RUN_TRUTH,
    /** A non-idempotent request runs at most once. */
    AT_MOST_ONCE,
    /** A leaving target receives no new requests after a few seconds. */
    LEAVING_TARGET,
    /** A planned stop interrupts no request. */
    GRACEFUL_STOP,
    /** An accepted sheet is in force everywhere within seconds and never reverts. */
    SHEET_DURABILITY
}
