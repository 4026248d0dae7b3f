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
 * Acquires and renews one lease. Confined to the control thread; {@link #tick} is to be called
 * about once a second.
 *
 * <p>The holder measures the duration of the lease by its own clock, from before its append, and
 * stops using the lease a safety margin before the end. So it stops before the log grants the lease
 * to another daemon, even if it was paused in between. A new holder waits until orders of the
 * previous one can no longer be in flight.
 */
public final class LeaseController {

    /** Duration of a lease. */
    public static final Duration DURATION = Duration.ofSeconds(15);

    /** Time before the end of the lease at which its holder stops using it. */
    static final Duration SAFETY_MARGIN = Duration.ofSeconds(1);

    /** Longest time from sending an order to its execution. */
    public static final Duration MAXIMUM_ORDER_FLIGHT_TIME = Duration.ofSeconds(2);

    private final String resource;
    private final DaemonId self;
    private final LeaseLog log;
    private final InstantSource clock;
    private final Timeline timeline;
    private boolean appendPending;
    private long fencingNumber;
    private Instant usableFrom = Instant.MAX;
    private Instant usableUntil = Instant.EPOCH;
    private Instant observedSince = Instant.EPOCH;
    private long observedFencingNumber = -1;

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
     * Returns the fencing number for orders that are sent right now, or empty if the lease is not
     * usable. To be called again immediately before each order.
     */
    public Optional<Long> usableFencingNumber() {
        Instant now = clock.instant();
        boolean usable =
                fencingNumber > 0 && !now.isBefore(usableFrom) && now.isBefore(usableUntil);
        return usable ? Optional.of(fencingNumber) : Optional.empty();
    }

    /** Acquires or renews the lease if that is due. */
    public void tick() {
        recordLossOnExpiry();
        if (appendPending || !log.isUpToDate()) {
            return;
        }
        Optional<LeaseState> lease = log.lease(resource);
        boolean heldBySelf = lease.map(state -> state.holder().equals(self)).orElse(false);
        if (heldBySelf && renewalDue() || !heldBySelf && isAvailable(lease)) {
            request(heldBySelf);
        }
    }

    private boolean renewalDue() {
        return clock.instant().isAfter(usableUntil.minus(DURATION.dividedBy(2)));
    }

    /**
     * Returns whether the lease was never granted, or another daemon has not renewed it for its
     * duration, measured by the local clock.
     */
    private boolean isAvailable(Optional<LeaseState> lease) {
        if (lease.isEmpty()) {
            return true;
        }
        Instant now = clock.instant();
        if (lease.get().fencingNumber() != observedFencingNumber) {
            observedFencingNumber = lease.get().fencingNumber();
            observedSince = now;
        }
        return !now.isBefore(observedSince.plus(DURATION));
    }

    private void request(boolean renewal) {
        appendPending = true;
        Instant requestedAt = clock.instant();
        log.append(new LogRecord.LeaseRequest(resource, self, DURATION))
                .whenComplete(
                        (offset, failure) -> {
                            appendPending = false;
                            if (failure == null) {
                                confirm(offset, requestedAt, renewal);
                            }
                        });
    }

    private void confirm(long offset, Instant requestedAt, boolean renewal) {
        boolean granted =
                log.lease(resource)
                        .filter(state -> state.holder().equals(self))
                        .map(state -> state.fencingNumber() == offset)
                        .orElse(false);
        if (!granted) {
            return;
        }
        boolean uninterrupted =
                renewal && fencingNumber > 0 && clock.instant().isBefore(usableUntil);
        fencingNumber = offset;
        usableUntil = requestedAt.plus(DURATION).minus(SAFETY_MARGIN);
        if (!uninterrupted) {
            usableFrom = clock.instant().plus(MAXIMUM_ORDER_FLIGHT_TIME);
            timeline.record(EventKind.LEASE_ACQUIRED, resource, "fencing number " + offset);
        }
    }

    private void recordLossOnExpiry() {
        if (fencingNumber > 0 && !clock.instant().isBefore(usableUntil)) {
            timeline.record(EventKind.LEASE_LOST, resource, "fencing number " + fencingNumber);
            fencingNumber = 0;
        }
    }

    /** Releases the lease, at a planned stop. */
    public void release() {
        if (fencingNumber > 0) {
            log.append(new LogRecord.LeaseRelease(resource, self, fencingNumber));
            fencingNumber = 0;
            usableUntil = Instant.EPOCH;
        }
    }
}
