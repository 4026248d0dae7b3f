package org.bergamothoist.core.fleet;

import java.time.Duration;
import java.time.Instant;

/**
 * Passive health check of one incarnation of a target, based on the results of the requests sent to
 * it. Confined to the control thread.
 *
 * <p>A target that fails repeatedly is ejected (gets no requests) for a time that doubles up to a
 * maximum. The first request after that decides whether it is ejected again.
 */
public final class TargetHealth {

    /**
     * Number of consecutive failures that eject a target; a single one may concern only a
     * connection.
     */
    private static final int CONSECUTIVE_FAILURES_BEFORE_EJECTION = 2;

    /** Duration of the first ejection: about the time that a process takes to restart. */
    private static final Duration INITIAL_EJECTION = Duration.ofMillis(500);

    /** Maximum duration of an ejection, so that a target that has recovered is used again soon. */
    private static final Duration MAXIMUM_EJECTION = Duration.ofSeconds(4);

    /**
     * Weight of the newest result in the exponential moving average of failures, which covers about
     * the last twelve requests.
     */
    private static final double FAILURE_RATE_SMOOTHING = 0.08;

    private int consecutiveFailures;
    private Duration nextEjection = INITIAL_EJECTION;
    private Instant ejectedUntil = Instant.EPOCH;
    private double failureRate;
    private Instant lastSuccessAt = Instant.EPOCH;

    /** Records a complete response; ends an ejection. */
    public void onSuccess(Instant now) {
        lastSuccessAt = now;
        consecutiveFailures = 0;
        nextEjection = INITIAL_EJECTION;
        ejectedUntil = Instant.EPOCH;
        failureRate *= 1 - FAILURE_RATE_SMOOTHING;
    }

    /** Records a request that failed or got no response. */
    public void onFailure(Instant now) {
        failureRate += FAILURE_RATE_SMOOTHING * (1 - failureRate);
        consecutiveFailures++;
        if (consecutiveFailures >= CONSECUTIVE_FAILURES_BEFORE_EJECTION) {
            eject(now);
        }
    }

    /**
     * Records an error response. It counts towards the failure rate, but does not eject the target,
     * which is evidently running.
     */
    public void onErrorResponse() {
        failureRate += FAILURE_RATE_SMOOTHING * (1 - failureRate);
    }

    /**
     * Records that a request sent at the instant got no response in time. Ignored if another
     * request has succeeded since then.
     */
    public void onResponseTimeout(Instant sentAt, Instant now) {
        if (lastSuccessAt.isBefore(sentAt)) {
            onFailure(now);
        }
    }

    /** Records that no connection to the target could be made; ejects it at once. */
    public void onUnreachable(Instant now) {
        consecutiveFailures++;
        eject(now);
    }

    private void eject(Instant now) {
        if (now.isBefore(ejectedUntil)) {
            return;
        }
        ejectedUntil = now.plus(nextEjection);
        Duration doubled = nextEjection.multipliedBy(2);
        nextEjection = doubled.compareTo(MAXIMUM_EJECTION) > 0 ? MAXIMUM_EJECTION : doubled;
    }

    /** Returns whether requests may be sent to the target, that is, it is not ejected. */
    public boolean isUsable(Instant now) {
        return !now.isBefore(ejectedUntil);
    }

    /** Returns the exponential moving average of failed requests, from 0 to 1. */
    public double failureRate() {
        return failureRate;
    }
}
