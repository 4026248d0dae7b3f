package org.bergamothoist.core.request;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.sheet.OrganisationState;

/**
 * A request while the filter chain processes it. Confined to the control thread.
 *
 * <p>A request finishes exactly once, by {@link #finish}. Filters release the resources that they
 * hold for a request in an action registered with {@link #onFinish}.
 */
public abstract class RequestExchange {

    private final RequestId id;
    private final boolean identifiedByCaller;
    private final String callerKey;
    private final int priority;
    private final Instant arrivedAt;
    private final Optional<Instant> deadline;
    private final OutcomeGuard outcomeGuard;
    private final Deque<Consumer<Outcome>> finishActions = new ArrayDeque<>();
    private boolean idempotent;
    private boolean retryable;
    private OrganisationState organisation;
    private boolean claimed;
    private int attemptsThatMayHaveRun;
    private Outcome outcome;

    /** Creates an exchange. */
    protected RequestExchange(Metadata metadata, OutcomeGuard outcomeGuard) {
        this.id = metadata.id();
        this.identifiedByCaller = metadata.identifiedByCaller();
        this.callerKey = metadata.callerKey();
        this.priority = metadata.priority();
        this.arrivedAt = metadata.arrivedAt();
        this.deadline = metadata.deadline();
        this.idempotent = metadata.idempotent();
        this.retryable = metadata.idempotent();
        this.outcomeGuard = outcomeGuard;
    }

    /**
     * Properties that completions and service calls have in common.
     *
     * @param identifiedByCaller whether the caller, not this daemon, chose the identifier
     * @param callerKey the caller's bearer token; must not be logged
     * @param priority from 0 (most urgent) to 9 (least urgent)
     * @param arrivedAt time of arrival at this daemon
     * @param deadline latest time at which the response must start, if there is one
     * @param idempotent false if the caller requires that the request runs at most once
     */
    public record Metadata(
            RequestId id,
            boolean identifiedByCaller,
            String callerKey,
            int priority,
            Instant arrivedAt,
            Optional<Instant> deadline,
            boolean idempotent) {}

    /** Returns the request's identifier. */
    public final RequestId id() {
        return id;
    }

    /** Returns whether the caller chose the identifier, so that a retry can carry the same one. */
    public final boolean identifiedByCaller() {
        return identifiedByCaller;
    }

    /** Returns the caller's bearer token, which must not be logged. */
    public final String callerKey() {
        return callerKey;
    }

    /** Returns the priority, from 0 (most urgent) to 9 (least urgent). */
    public final int priority() {
        return priority;
    }

    /** Returns the time of arrival at this daemon. */
    public final Instant arrivedAt() {
        return arrivedAt;
    }

    /** Returns the latest time at which the response must start, if the caller set a deadline. */
    public final Optional<Instant> deadline() {
        return deadline;
    }

    /** Returns false if the caller or the organisation's sheet marks the request non-idempotent. */
    public final boolean idempotent() {
        return idempotent;
    }

    /** Returns whether the request may be retried after bytes were sent to a target. */
    public final boolean retryable() {
        return retryable && idempotent;
    }

    /** Marks the request as non-idempotent. */
    public final void markNonIdempotent() {
        idempotent = false;
    }

    /** Forbids a retry after bytes were sent to a target, without requiring a claim. */
    protected final void forbidRetry() {
        retryable = false;
    }

    /** Returns the authenticated organisation, or null before the authentication filter has run. */
    public final OrganisationState organisation() {
        return organisation;
    }

    /** Returns the identifier of the authenticated organisation. */
    public final OrganisationId organisationId() {
        return organisation.entry().organisation();
    }

    /** Sets the authenticated organisation. */
    public final void authenticatedAs(OrganisationState authenticated) {
        organisation = authenticated;
    }

    /** Returns whether the request resumes a response that a target has already started. */
    public abstract boolean resuming();

    /** Returns the estimated number of tokens to process, at least 1. */
    public abstract int estimatedTokens();

    /** Records that this daemon holds the claim that allows the request to run once. */
    public final void markClaimed() {
        claimed = true;
    }

    /** Returns whether this daemon holds the claim that allows the request to run once. */
    public final boolean claimed() {
        return claimed;
    }

    /** Records that a dispatch starts; from now on bytes may have been sent to a target. */
    public final void attemptStarted() {
        outcomeGuard.beforeAttempt(this);
        attemptsThatMayHaveRun++;
    }

    /** Records that a dispatch which a target has already received is resumed. */
    public final void resumptionStarted() {
        attemptsThatMayHaveRun++;
    }

    /** Records that a dispatch failed before any byte was sent. */
    public final void attemptNotSent() {
        attemptsThatMayHaveRun--;
    }

    /** Returns whether a byte of the request may have been sent to a target. */
    public final boolean mayHaveRun() {
        return attemptsThatMayHaveRun > 0;
    }

    /** Registers an action to run when the request finishes; the last registered runs first. */
    public final void onFinish(Consumer<Outcome> action) {
        finishActions.push(action);
    }

    /** Returns whether the request has finished. */
    public final boolean finished() {
        return outcome != null;
    }

    /** Finishes the request; has no effect if it has already finished. */
    public final void finish(Outcome proposed) {
        if (finished()) {
            return;
        }
        outcome = outcomeGuard.check(this, proposed);
        while (!finishActions.isEmpty()) {
            finishActions.pop().accept(outcome);
        }
        deliver(outcome);
    }

    /**
     * Finishes with {@link Outcome.NotRun}, or {@link Outcome.Unknown} if bytes may have been sent.
     */
    public final void fail(ErrorCode code, String message) {
        finish(mayHaveRun() ? new Outcome.Unknown(code, message) : Outcome.notRun(code, message));
    }

    /** Delivers the outcome to the caller. */
    protected abstract void deliver(Outcome finalOutcome);
}
