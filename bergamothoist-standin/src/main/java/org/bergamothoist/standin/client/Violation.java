package org.bergamothoist.standin.client;

/** A promise that the router broke towards a caller. */
public record Violation(Kind kind, String requestId, String detail) {

    /** Which promise was broken. */
    public enum Kind {
        /** A piece never came. */
        MISSING_PIECE,
        /** A piece came twice. */
        DUPLICATED_PIECE,
        /** A piece came after one that follows it. */
        REORDERED_PIECE,
        /** The text is not the answer to the caller's prompt. */
        FOREIGN_TEXT,
        /** The answer comes from another model, adapter or version. */
        WRONG_MODEL,
        /** The stream ended early without saying so. */
        SILENT_CUT,
        /** An event does not have the published form. */
        MALFORMED_EVENT,
        /** A non-idempotent request ran more than once. */
        REPEATED_EXECUTION,
        /** A request ran although its outcome was "not run". */
        FALSE_NOT_RUN,
        /** A stream began, but the caller never learned its outcome. */
        NO_OUTCOME
    }
}
