package org.bergamothoist.core.membership;

import java.time.Duration;
import java.time.Instant;
import org.bergamothoist.core.platform.Target;

/** What is known of one target at one address. */
final class TargetEntry {

    /** Evidence of life keeps a target that a list does not name for this time. */
    private static final Duration EVIDENCE_LIFETIME = Duration.ofSeconds(5);

    /** First-hand knowledge that a target is leaving is current for this time. */
    private static final Duration FIRST_HAND_LIFETIME = Duration.ofSeconds(10);

    /** Time until the next try after the first failed connection, before jitter. */
    private static final Duration MINIMUM_RETRY = Duration.ofMillis(500);

    /** Longest time until the next try, before jitter. */
    private static final Duration MAXIMUM_RETRY = Duration.ofSeconds(15);

    /** Doublings of the time until the next try. */
    private static final int MAXIMUM_DOUBLINGS = 5;

    private final Target target;
    private Instant evidenceAt = Instant.MIN;
    private Instant leavingSince;
    private Instant leavingEvidenceAt = Instant.MIN;
    private Instant absentSince;
    private Instant peerMarksIgnoredUntil;
    private Instant retryAt = Instant.MIN;
    private int failures;
    private TargetState reportedState;

    TargetEntry(Target target, Instant peerMarksIgnoredUntil) {
        this.target = target;
        this.peerMarksIgnoredUntil = peerMarksIgnoredUntil;
    }

    Target target() {
        return target;
    }

    TargetState state(Instant now) {
        boolean running = evidenceAt.isAfter(now.minus(EVIDENCE_LIFETIME));
        if (absentSince != null && !running) {
            return TargetState.GONE;
        }
        if (leavingSince != null) {
            return TargetState.LEAVING;
        }
        return failures > 0 ? TargetState.SUSPECT : TargetState.LIVE;
    }

    /** Returns whether work may be sent now: it lives, or it is due to be tried again. */
    boolean accepts(Instant now) {
        TargetState state = state(now);
        return state == TargetState.LIVE || state == TargetState.SUSPECT && !now.isBefore(retryAt);
    }

    /** Returns since when it is known to be leaving, or null. */
    Instant leavingSince() {
        return leavingSince;
    }

    /** Returns whether the mark should be passed on: it is first-hand and current, or new. */
    boolean spreadsLeaving(Instant now) {
        Instant limit = now.minus(FIRST_HAND_LIFETIME);
        return leavingSince != null
                && (leavingSince.isAfter(limit) || leavingEvidenceAt.isAfter(limit));
    }

    void markLeavingFirstHand(Instant now) {
        leavingEvidenceAt = now;
        markLeaving(now);
    }

    void markLeavingFromPeer(Instant now) {
        if (!now.isBefore(peerMarksIgnoredUntil)) {
            markLeaving(now);
        }
    }

    private void markLeaving(Instant now) {
        if (leavingSince == null) {
            leavingSince = now;
        }
    }

    /** Takes in that the list names it as live; a mark ends only after it was absent. */
    void listedLive(Instant now, Duration peerMarkSuppression) {
        if (absentSince != null) {
            leavingSince = null;
            leavingEvidenceAt = Instant.MIN;
            failures = 0;
            peerMarksIgnoredUntil = now.plus(peerMarkSuppression);
        }
        absentSince = null;
    }

    void listedLeaving(Instant now) {
        absentSince = null;
        markLeavingFirstHand(now);
    }

    void notListed(Instant now) {
        if (absentSince == null) {
            absentSince = now;
        }
    }

    boolean absentSinceBefore(Instant limit) {
        return absentSince != null && absentSince.isBefore(limit);
    }

    void answered(Instant now) {
        evidenceAt = now;
        failures = 0;
    }

    /**
     * Takes in that a connection failed; the next try is due later each time.
     *
     * @param jitter between 0 and 1, so that daemons do not try at the same time
     */
    void failed(Instant now, double jitter) {
        failures++;
        evidenceAt = Instant.MIN;
        postpone(now, jitter);
    }

    /** Takes in that work is about to be sent; a try under way is not repeated by other work. */
    void dispatched(Instant now, double jitter) {
        if (failures > 0) {
            postpone(now, jitter);
        }
    }

    private void postpone(Instant now, double jitter) {
        int doublings = Math.min(failures - 1, MAXIMUM_DOUBLINGS);
        Duration delay = MINIMUM_RETRY.multipliedBy(1L << doublings);
        Duration bounded = delay.compareTo(MAXIMUM_RETRY) > 0 ? MAXIMUM_RETRY : delay;
        long half = bounded.toNanos() / 2;
        retryAt = now.plusNanos(half + (long) (half * jitter));
    }

    /** Returns the state if it has changed since the last call, else null. */
    TargetState changedState(Instant now) {
        TargetState state = state(now);
        if (state == reportedState) {
            return null;
        }
        reportedState = state;
        return state;
    }
}
