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
 * A request on its way through the filter chain. Confined to the control thread.
 *
 * <p>A request ends exactly once, by {@link #finish}. Filters that hold something for a request
 * give it back in an action registered by {@link #onFinish}.
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
    private boolean repeatable;
    private OrganisationState organisation;
    private boolean claimed;
    private int attemptsThatMayHaveRun;
    private Outcome outcome;

    /** Creates an exchange from the parts that completions and service calls share. */
    protected RequestExchange(Head head, OutcomeGuard outcomeGuard) {
        this.id = head.id();
        this.identifiedByCaller = head.identifiedByCaller();
        this.callerKey = head.callerKey();
        this.priority = head.priority();
        this.arrivedAt = head.arrivedAt();
        this.deadline = head.deadline();
        this.idempotent = head.idempotent();
        this.repeatable = head.idempotent();
        this.outcomeGuard = outcomeGuard;
    }

    /**
     * What completions and service calls share.
     *
     * @param identifiedByCaller whether the identifier came from the caller
     * @param deadline time until which the answer must begin
     */
    public record Head(
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

    /** Returns whether the identifier came from the caller, so that a repeat can carry it too. */
    public final boolean identifiedByCaller() {
        return identifiedByCaller;
    }

    /** Returns the caller's key; never log it. */
    public final String callerKey() {
        return callerKey;
    }

    /** Returns the priority, 0 is most urgent. */
    public final int priority() {
        return priority;
    }

    /** Returns the time of arrival at this daemon. */
    public final Instant arrivedAt() {
        return arrivedAt;
    }

    /** Returns the time until which the answer must begin, if the caller set one. */
    public final Optional<Instant> deadline() {
        return deadline;
    }

    /** Returns whether neither the caller nor the sheet marks the request as non-idempotent. */
    public final boolean idempotent() {
        return idempotent;
    }

    /** Returns whether it may be sent again after a byte was sent. */
    public final boolean repeatable() {
        return repeatable && idempotent;
    }

    /** Marks the request as non-idempotent, as the sheet demands. */
    public final void markNonIdempotent() {
        idempotent = false;
    }

    /** Forbids sending the request again after a byte was sent, without requiring a claim. */
    protected final void forbidRepeat() {
        repeatable = false;
    }

    /** Returns the authenticated organisation; set by the authentication filter. */
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

    /** Returns whether the request goes on with an answer that a target has already begun. */
    public abstract boolean resuming();

    /** Returns the work that the request asks for, in tokens, at least 1. */
    public abstract int estimatedTokens();

    /** Notes that this daemon holds the claim on the request's only run. */
    public final void markClaimed() {
        claimed = true;
    }

    /** Returns whether this daemon holds the claim on the request's only run. */
    public final boolean claimed() {
        return claimed;
    }

    /** Notes that a dispatch starts; from now on bytes may have left for a target. */
    public final void attemptStarted() {
        outcomeGuard.beforeAttempt(this);
        attemptsThatMayHaveRun++;
    }

    /** Notes that an earlier dispatch, which a target already has, is resumed. */
    public final void resumptionStarted() {
        attemptsThatMayHaveRun++;
    }

    /** Notes that a dispatch failed before any byte was sent. */
    public final void attemptNotSent() {
        attemptsThatMayHaveRun--;
    }

    /** Returns whether a byte of the request may have been sent to a target. */
    public final boolean mayHaveRun() {
        return attemptsThatMayHaveRun > 0;
    }

    /** Registers an action for the end; actions run in reverse order. */
    public final void onFinish(Consumer<Outcome> action) {
        finishActions.push(action);
    }

    /** Returns whether the request has ended. */
    public final boolean finished() {
        return outcome != null;
    }

    /** Ends the request; has no effect if it has ended. */
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

    /** Ends the request with "not run" if no byte can have been sent, with "unknown" otherwise. */
    public final void fail(ErrorCode code, String message) {
        finish(mayHaveRun() ? new Outcome.Unknown(code, message) : Outcome.notRun(code, message));
    }

    /** Delivers the outcome to the caller. */
    protected abstract void deliver(Outcome finalOutcome);
}
