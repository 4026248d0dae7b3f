package org.bergamothoist.core.feed;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.bergamothoist.core.time.PauseDetector;

/**
 * Bounds the age of records that a feed delivers. Records that arrive while the feed is read
 * without interruption are new; after an interruption of the reads or a pause of this process they
 * may be as old as the time up to which all records were known before. Confined to the control
 * thread.
 */
public final class FeedFreshness {

    private final Duration longestRead;
    private final PauseDetector pauses;
    private final InstantSource clock;
    private Optional<Instant> completeUntil = Optional.empty();
    private boolean failedSinceRead;

    /**
     * Creates the freshness of a feed that is about to be read.
     *
     * @param longestRead longest time between two reads of an uninterrupted feed
     */
    public FeedFreshness(Duration longestRead, PauseDetector pauses, InstantSource clock) {
        this.longestRead = longestRead;
        this.pauses = pauses;
        this.clock = clock;
    }

    /** Records that a read failed or reads are suspended, so that records may be unseen. */
    public void recordFailure() {
        failedSinceRead = true;
    }

    /**
     * Records an own read after which all records that were published up to the instant are known.
     */
    public void recordComplete(Instant until) {
        failedSinceRead = false;
        extendCompleteUntil(until);
    }

    /**
     * Records that all records that were published up to the instant are known, though not by an
     * own read. An interruption of the reads goes on.
     */
    public void extendCompleteUntil(Instant until) {
        if (completeUntil.filter(known -> !until.isAfter(known)).isEmpty()) {
            completeUntil = Optional.of(until);
        }
    }

    /**
     * Returns the time up to which all published records are known; empty before the first read.
     */
    public Optional<Instant> completeUntil() {
        return completeUntil;
    }

    /**
     * Returns the earliest time at which records that arrive now can have been published; empty for
     * those of the first read, which are of any age.
     */
    public Optional<Instant> earliestPublication() {
        return completeUntil.map(known -> wasInterruptedSince(known) ? known : clock.instant());
    }

    private boolean wasInterruptedSince(Instant instant) {
        return failedSinceRead
                || clock.instant().isAfter(instant.plus(longestRead))
                || pauses.hasPausedSince(instant);
    }
}
