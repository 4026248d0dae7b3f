package org.bergamothoist.core.order;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.log.SharedStateSnapshot.LeaseState;
import org.bergamothoist.core.timeline.EventKind;
import org.bergamothoist.core.timeline.Timeline;

/**
 * Acquires and renews one lease. Confined to the control thread; {@link #tick} is called about once
 * a second.
 *
 * <p>The holder counts the lease from before its append by its own clock and stops a margin early,
 * so that it stops before the log grants the lease to another, even if it was paused in between. A
 * new holder waits until orders of the previous one can no longer be in flight.
 */
public final class LeaseController {

    /** Duration of a lease. */
    public static final Duration DURATION = Duration.ofSeconds(15);

    /** Time before the end at which the holder stops using the lease. */
    static final Duration SAFETY_MARGIN = Duration.ofSeconds(1);

    /** Longest time that an order is in flight. */
    public static final Duration FLIGHT_TIME = Duration.ofSeconds(2);

    private final String resource;
    private final DaemonId self;
    private final LeaseLog log;
    private final InstantSource clock;
    private final Timeline timeline;
    private boolean appending;
    private long fencingNumber;
    private Instant usableFrom = Instant.MAX;
    private Instant usableUntil = Instant.EPOCH;
    private Instant watchedSince = Instant.EPOCH;
    private long watchedFencingNumber = -1;

    /** Creates a controller that does not hold the lease. */
    public LeaseController(
            String resource, DaemonId self, LeaseLog log, InstantSource clock, Timeline timeline) {
        this.resource = resource;
        this.self = self;
        this.log = log;
        this.clock = clock;
        this.timeline = timeline;
    }

    /**
     * Returns the fencing number under which orders may be given right now, or empty. Check it
     * again immediately before each order.
     */
    public Optional<Long> usableFencingNumber() {
        Instant now = clock.instant();
        boolean usable =
                fencingNumber > 0 && !now.isBefore(usableFrom) && now.isBefore(usableUntil);
        return usable ? Optional.of(fencingNumber) : Optional.empty();
    }

    /** Acquires or renews the lease if it is time to. */
    public void tick() {
        noteLoss();
        if (appending || !log.current()) {
            return;
        }
        Optional<LeaseState> lease = log.lease(resource);
        boolean mine = lease.map(state -> state.holder().equals(self)).orElse(false);
        if (mine && renewalDue() || !mine && free(lease)) {
            request(mine);
        }
    }

    private boolean renewalDue() {
        return clock.instant().isAfter(usableUntil.minus(DURATION.dividedBy(2)));
    }

    /** Counts by own elapsed time how long another's lease has gone without renewal. */
    private boolean free(Optional<LeaseState> lease) {
        if (lease.isEmpty()) {
            return true;
        }
        Instant now = clock.instant();
        if (lease.get().fencingNumber() != watchedFencingNumber) {
            watchedFencingNumber = lease.get().fencingNumber();
            watchedSince = now;
        }
        return !now.isBefore(watchedSince.plus(DURATION));
    }

    private void request(boolean renewal) {
        appending = true;
        Instant countedFrom = clock.instant();
        log.append(new LogRecord.LeaseRequest(resource, self, DURATION))
                .whenComplete(
                        (offset, failure) -> {
                            appending = false;
                            if (failure == null) {
                                confirm(offset, countedFrom, renewal);
                            }
                        });
    }

    private void confirm(long offset, Instant countedFrom, boolean renewal) {
        boolean granted =
                log.lease(resource)
                        .filter(state -> state.holder().equals(self))
                        .map(state -> state.fencingNumber() == offset)
                        .orElse(false);
        if (!granted) {
            return;
        }
        boolean unbroken = renewal && fencingNumber > 0 && clock.instant().isBefore(usableUntil);
        fencingNumber = offset;
        usableUntil = countedFrom.plus(DURATION).minus(SAFETY_MARGIN);
        if (!unbroken) {
            usableFrom = clock.instant().plus(FLIGHT_TIME);
            timeline.record(EventKind.LEASE_ACQUIRED, resource, "fencing number " + offset);
        }
    }

    private void noteLoss() {
        if (fencingNumber > 0 && !clock.instant().isBefore(usableUntil)) {
            timeline.record(EventKind.LEASE_LOST, resource, "fencing number " + fencingNumber);
            fencingNumber = 0;
        }
    }

    /** Gives the lease back, at a planned stop. */
    public void release() {
        if (fencingNumber > 0) {
            log.append(new LogRecord.LeaseRelease(resource, self, fencingNumber));
            fencingNumber = 0;
            usableUntil = Instant.EPOCH;
        }
    }
}
