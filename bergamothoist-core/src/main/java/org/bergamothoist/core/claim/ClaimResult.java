package org.bergamothoist.core.claim;

/** The result of an attempt to claim a request. */
public sealed interface ClaimResult {

    /**
     * The claim was granted; the request may be sent.
     *
     * @param offset offset of the log record that granted the claim
     */
    record Granted(long offset) implements ClaimResult {}

    /**
     * Another submission of the same request holds the claim.
     *
     * @param answered whether the log records that the other submission was answered
     */
    record HeldByOther(boolean answered) implements ClaimResult {}

    /**
     * The creation time in the request's identifier is outside the deduplication window, so that a
     * claim of an earlier submission may already have been removed.
     */
    record IdentifierExpired() implements ClaimResult {}

    /**
     * The log is unreachable or did not confirm the claim in time; this submission has not run and
     * will not run.
     */
    record LogUnavailable() implements ClaimResult {}
}
