package org.bergamothoist.core.fleet;

import java.time.Duration;
import java.time.Instant;

/**
 * Judges one incarnation of a target by the requests sent to it. Confined to the control thread.
 *
 * <p>A target that fails repeatedly is left out for a time that doubles up to a bound; the first
 * request after that decides whether it returns.
 */
public final class TargetHealth {

    /** Failures in a row that leave a target out: one alone may concern only its connection. */
    private static final int FAILURES_BEFORE_EJECTION = 2;

    /** First time for which a target is left out: about the time that a process restarts in. */
    private static final Duration FIRST_EJECTION = Duration.ofMillis(500);

    /** Longest time for which a target is left out, so that one that recovered is found soon. */
    private static final Duration LONGEST_EJECTION = Duration.ofSeconds(4);

    /** Weight of the newest result in the failure rate: about the last twelve requests count. */
    private static final double NEWEST_WEIGHT = 0.08;

    private int failuresInRow;
    private Duration ejection = FIRST_EJECTION;
    private Instant ejectedUntil = Instant.EPOCH;
    private double failureRate;
    private Instant succeededAt = Instant.EPOCH;

    /** Notes a complete answer. */
    public void onSuccess(Instant now) {
        succeededAt = now;
        failuresInRow = 0;
        ejection = FIRST_EJECTION;
        ejectedUntil = Instant.EPOCH;
        failureRate *= 1 - NEWEST_WEIGHT;
    }

    /** Notes a request that the target failed or did not answer. */
    public void onFailure(Instant now) {
        failureRate += NEWEST_WEIGHT * (1 - failureRate);
        failuresInRow++;
        if (failuresInRow >= FAILURES_BEFORE_EJECTION) {
            eject(now);
        }
    }

    /** Notes a failure that the target itself answered; such a target is not down. */
    public void onErrorAnswer() {
        failureRate += NEWEST_WEIGHT * (1 - failureRate);
    }

    /** Notes that a request sent at an instant had no answer; others may have had one since. */
    public void onSilence(Instant sentAt, Instant now) {
        if (succeededAt.isBefore(sentAt)) {
            onFailure(now);
        }
    }

    /** Notes that the target could not be reached. */
    public void onUnreachable(Instant now) {
        failuresInRow++;
        eject(now);
    }

    private void eject(Instant now) {
        if (now.isBefore(ejectedUntil)) {
            return;
        }
        ejectedUntil = now.plus(ejection);
        Duration doubled = ejection.multipliedBy(2);
        ejection = doubled.compareTo(LONGEST_EJECTION) > 0 ? LONGEST_EJECTION : doubled;
    }

    /** Returns whether requests may be sent to the target. */
    public boolean isUsable(Instant now) {
        return !now.isBefore(ejectedUntil);
    }

    /** Returns the weighted share of failed requests, 0 to 1. */
    public double failureRate() {
        return failureRate;
    }
}
