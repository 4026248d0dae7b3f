package org.bergamothoist.measure.check;

/** What a randomised run checks. */
public enum Property {
    /** G1: no reliance on cache of a dead engine, another organisation or older weights. */
    CACHE_ISOLATION,
    /** G2: streams arrive complete and in order, and each accepted request ends once. */
    STREAM_ORDER,
    /** G3: a restarted daemon serves within 5 s. */
    WARM_RESTART,
    /** G4: each caller gets the whole answer to its own request and nothing else. */
    ANSWER_OWNERSHIP,
    /** G5: a "not run" refusal is true. */
    NOT_RUN_TRUTH,
    /** G6: a non-idempotent request reaches at most one target, once. */
    AT_MOST_ONCE,
    /** G7: no new work for a target 5 s after it is known to leave. */
    LEAVING_TARGET,
    /** G8: a planned stop cuts no request within the stop deadline. */
    GRACEFUL_STOP,
    /** G9: a sheet in force is used everywhere within 4 s, and nothing reverts. */
    SHEET_DURABILITY,
    /** At most two engines load weights at once. */
    LOADING_BOUND,
    /** Content that crashes targets costs at most 2 of them; what ran beside it is answered. */
    CRASHING_CONTENT,
    /** An invariant inside a node found a guarantee broken. */
    INTERNAL_INVARIANT,
    /** A task of a node failed with an exception. */
    UNEXPECTED_FAILURE
}
