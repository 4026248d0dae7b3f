package org.bergamothoist.core.filter;

import java.time.Duration;
import org.bergamothoist.core.claim.ClaimController;
import org.bergamothoist.core.claim.ClaimResult;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.log.LogRecord.ClaimKey;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.request.RequestExchange;
import org.bergamothoist.core.request.RequestFilter;
import org.bergamothoist.core.timeline.EventKind;
import org.bergamothoist.core.timeline.Timeline;

/**
 * Ensures that a non-idempotent request runs at most once: it passes only if this daemon is granted
 * the claim on it.
 */
public final class ClaimFilter implements RequestFilter<RequestExchange> {

    /** Maximum wait for a claim; the log usually confirms it within tens of milliseconds. */
    private static final Duration CLAIM_DEADLINE = Duration.ofSeconds(3);

    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private final ClaimController claims;
    private final Timeline timeline;

    /** Creates a filter. */
    public ClaimFilter(ClaimController claims, Timeline timeline) {
        this.claims = claims;
        this.timeline = timeline;
    }

    @Override
    public void apply(RequestExchange exchange, Runnable proceed) {
        if (exchange.idempotent() || exchange.resuming()) {
            proceed.run();
            return;
        }
        if (!exchange.identifiedByCaller()) {
            exchange.finish(
                    Outcome.notRun(
                            ErrorCode.REQUEST_IDENTIFIER_REQUIRED,
                            "a non-idempotent request requires a Request-Id"));
            return;
        }
        ClaimKey key = new ClaimKey(exchange.organisationId(), exchange.id());
        claims.claim(key, CLAIM_DEADLINE)
                .thenAccept(result -> onClaimDecided(exchange, key, result, proceed));
    }

    private void onClaimDecided(
            RequestExchange exchange, ClaimKey key, ClaimResult result, Runnable proceed) {
        timeline.record(
                result instanceof ClaimResult.Granted
                        ? EventKind.CLAIM_GRANTED
                        : EventKind.CLAIM_REFUSED,
                exchange.id().toString(),
                result.toString());
        if (result instanceof ClaimResult.Granted) {
            onClaimGranted(exchange, key, proceed);
        } else if (result instanceof ClaimResult.HeldByOther held) {
            exchange.finish(
                    new Outcome.Unknown(
                            held.answered()
                                    ? ErrorCode.REQUEST_ALREADY_ANSWERED
                                    : ErrorCode.REQUEST_ALREADY_CLAIMED,
                            "an earlier attempt with this Request-Id already holds the claim"));
        } else if (result instanceof ClaimResult.IdentifierExpired) {
            exchange.finish(
                    new Outcome.Unknown(
                            ErrorCode.REQUEST_IDENTIFIER_EXPIRED,
                            "the request identifier is outside the deduplication window"));
        } else {
            exchange.finish(
                    new Outcome.NotRun(
                            ErrorCode.LOG_UNAVAILABLE,
                            "the log did not confirm the claim",
                            RETRY_AFTER));
        }
    }

    private void onClaimGranted(RequestExchange exchange, ClaimKey key, Runnable proceed) {
        if (exchange.finished()) {
            claims.release(key);
            return;
        }
        exchange.markClaimed();
        exchange.onFinish(
                outcome -> {
                    if (exchange.mayHaveRun()) {
                        claims.recordOutcome(key, outcome instanceof Outcome.Answered);
                    } else {
                        claims.release(key);
                    }
                });
        proceed.run();
    }
}
