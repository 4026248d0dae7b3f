package org.bergamothoist.core.membership;

import java.time.Duration;
import java.time.Instant;
import org.bergamothoist.core.platform.Target;

/** Observed state of one target at one address. */
final class TargetEntry {

    /** Time for which a response keeps a target that is missing from the list in service. */
    private static final Duration RESPONSE_LIFETIME = Duration.ofSeconds(5);

    /**
     * Time for which a leaving mark is announced to peers after it was set or confirmed first-hand.
     */
    private static final Duration LEAVING_ANNOUNCEMENT_LIFETIME = Duration.ofSeconds(10);

    /** Retry delay after the first failed connection, before jitter. */
    private static final Duration MINIMUM_RETRY_DELAY = Duration.ofMillis(500);

    /** Maximum retry delay, before jitter. */
    private static final Duration MAXIMUM_RETRY_DELAY = Duration.ofSeconds(15);

    /** Maximum number of times that the retry delay is doubled. */
    private static final int MAXIMUM_RETRY_DOUBLINGS = 5;

    private final Target target;
    private Instant confirmedRunningAt = Instant.MIN;
    private Instant leavingSince;
    private Instant leavingConfirmedAt = Instant.MIN;
    private Instant absentSince;
    private Instant peerMarksIgnoredUntil;
    private Instant retryAt = Instant.MIN;
    private int consecutiveFailures;
    private TargetAvailability reportedAvailability;

    /**
     * Creates the entry of a live target.
     *
     * @param peerMarksIgnoredUntil time until which leaving marks of other daemons have no effect
     */
    TargetEntry(Target target, Instant peerMarksIgnoredUntil) {
        this.target = target;
        this.peerMarksIgnoredUntil = peerMarksIgnoredUntil;
    }

    Target target() {
        return target;
    }

    TargetAvailability availability(Instant now) {
        boolean running = confirmedRunningAt.isAfter(now.minus(RESPONSE_LIFETIME));
        if (absentSince != null && !running) {
            return TargetAvailability.GONE;
        }
        if (leavingSince != null) {
            return TargetAvailability.LEAVING;
        }
        return consecutiveFailures > 0 ? TargetAvailability.SUSPECT : TargetAvailability.LIVE;
    }

    /** Returns whether work may be sent now: the target is live, or suspect and due for a retry. */
    boolean accepts(Instant now) {
        TargetAvailability availability = availability(now);
        return availability == TargetAvailability.LIVE
                || availability == TargetAvailability.SUSPECT && !now.isBefore(retryAt);
    }

    /** Returns the time since which the target is known to be leaving, or null. */
    Instant leavingSince() {
        return leavingSince;
    }

    /**
     * Returns whether to announce to peers that the target is leaving: the mark is new, or was
     * confirmed first-hand recently. Repeating older marks of peers would keep them circulating
     * forever.
     */
    boolean shouldAnnounceLeaving(Instant now) {
        Instant limit = now.minus(LEAVING_ANNOUNCEMENT_LIFETIME);
        return leavingSince != null
                && (leavingSince.isAfter(limit) || leavingConfirmedAt.isAfter(limit));
    }

    /** Marks the target as leaving because the list or the target itself reports it. */
    void markLeavingFirstHand(Instant now) {
        leavingConfirmedAt = now;
        markLeaving(now);
    }

    /**
     * Marks the target as leaving because another daemon reports it, unless such marks are ignored.
     */
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

    /**
     * Records that the list has the target as live. A leaving mark is only cleared if the target
     * was absent from the list before, since a lagging list may still show a leaving target as
     * live.
     */
    void onListedLive(Instant now, Duration peerMarkSuppression) {
        if (absentSince != null) {
            leavingSince = null;
            leavingConfirmedAt = Instant.MIN;
            consecutiveFailures = 0;
            peerMarksIgnoredUntil = now.plus(peerMarkSuppression);
        }
        absentSince = null;
    }

    /** Records that the list has the target as leaving. */
    void onListedLeaving(Instant now) {
        absentSince = null;
        markLeavingFirstHand(now);
    }

    /** Records that the target is missing from the list. */
    void onUnlisted(Instant now) {
        if (absentSince == null) {
            absentSince = now;
        }
    }

    /** Returns whether the target has been missing from the list since before the limit. */
    boolean isAbsentSinceBefore(Instant limit) {
        return absentSince != null && absentSince.isBefore(limit);
    }

    /** Records a response of the target. */
    void onResponse(Instant now) {
        confirmedRunningAt = now;
        consecutiveFailures = 0;
    }

    /**
     * Records a failed connection. The retry delay doubles with each failure up to a maximum.
     *
     * @param jitter random number from 0 to 1, so that daemons do not retry at the same time
     */
    void onConnectionFailure(Instant now, double jitter) {
        consecutiveFailures++;
        confirmedRunningAt = Instant.MIN;
        postponeRetry(now, jitter);
    }

    /**
     * Records that work is about to be sent. While a retry of a suspect target is in progress,
     * other work is not sent to it.
     */
    void onDispatch(Instant now, double jitter) {
        if (consecutiveFailures > 0) {
            postponeRetry(now, jitter);
        }
    }

    private void postponeRetry(Instant now, double jitter) {
        int doublings = Math.min(consecutiveFailures - 1, MAXIMUM_RETRY_DOUBLINGS);
        Duration delay = MINIMUM_RETRY_DELAY.multipliedBy(1L << doublings);
        Duration bounded = delay.compareTo(MAXIMUM_RETRY_DELAY) > 0 ? MAXIMUM_RETRY_DELAY : delay;
        long half = bounded.toNanos() / 2;
        retryAt = now.plusNanos(half + (long) (half * jitter));
    }

    /** Returns the availability if it has changed since the last call, else null. */
    TargetAvailability changedAvailability(Instant now) {
        TargetAvailability availability = availability(now);
        if (availability == reportedAvailability) {
            return null;
        }
        reportedAvailability = availability;
        return availability;
    }
}
