package org.bergamothoist.core.invariant;

/** The guarantees of the system, as {@code docs/promises.md} lists them. */
public enum Guarantee {
    /** No reliance on cache of a dead engine, another organisation or older weights. */
    CACHE_ISOLATION,
    /** Streams arrive complete and in order. */
    STREAM_ORDER,
    /** A restarted daemon serves at once. */
    WARM_RESTART,
    /** Each caller gets the whole answer to its own request. */
    ANSWER_OWNERSHIP,
    /** A "not run" refusal is true. */
    NOT_RUN_TRUTH,
    /** A non-idempotent request runs at most once. */
    AT_MOST_ONCE,
    /** A leaving target gets no new work after a few seconds. */
    LEAVING_TARGET,
    /** A planned stop cuts no request. */
    GRACEFUL_STOP,
    /** An accepted sheet is in force everywhere within seconds and never reverts. */
    SHEET_DURABILITY
}
