package org.bergamothoist.core.claim;

/** The answer to an attempt to claim a request. */
public sealed interface ClaimResult {

    /**
     * The request may be sent.
     *
     * @param offset offset of the claiming record
     */
    record Granted(long offset) implements ClaimResult {}

    /**
     * Another sending holds the claim.
     *
     * @param answered whether its outcome is recorded as answered
     */
    record HeldByOther(boolean answered) implements ClaimResult {}

    /**
     * The creation time of the request is outside the duplicate window, so that an earlier sending
     * could have been forgotten.
     */
    record IdentifierExpired() implements ClaimResult {}

    /** The claim was not confirmed; this sending has not run and will not. */
    record LogUnavailable() implements ClaimResult {}
}
