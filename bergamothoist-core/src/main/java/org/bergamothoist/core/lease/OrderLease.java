package org.bergamothoist.core.lease;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;

/**
 * Lease that allows one daemon at a time to send orders to targets, held while there are orders to
 * send. Confined to the control thread.
 *
 * <p>Each record of the log either renews the lease of the last holder or transfers the lease to a
 * new one. A holder sends orders only within {@link #ORDER_WINDOW} after a renewal that the store
 * has confirmed, measured from before its append. Another daemon takes over once it has seen the
 * log unchanged for that window plus the duration of the lease, so that orders of two holders are
 * always at least the duration apart. The fencing number is the offset of the record that
 * transferred the lease, plus one.
 */
public final class OrderLease {

    /** Time after a renewal in which orders may be sent; it covers a few calls to the store. */
    static final Duration ORDER_WINDOW = Duration.ofMillis(500);

    /** Age of a renewal at which the holder renews; half of the window leaves time for a retry. */
    private static final Duration RENEWAL_AGE = ORDER_WINDOW.dividedBy(2);

    /** Allowance for the transmission time of an order and for clock drift. */
    private static final Duration SAFETY_MARGIN = Duration.ofMillis(250);

    /** Interval between reads of the log while another daemon holds the lease. */
    private static final Duration READ_INTERVAL = Duration.ofMillis(200);

    private static final String NAME = "order-lease";

    private final String self;
    private final LeaseTopic topic;
    private final VersionDates versionDates;
    private final Duration duration;
    private final InstantSource clock;
    private final DecisionLog log;

    private boolean storeCallPending;
    private boolean tailKnown;
    private LeaseTopic.Tail tail;
    private Instant tailUnchangedSince = Instant.EPOCH;
    private Instant lastReadAt = Instant.EPOCH;
    private Instant renewedAt = Instant.EPOCH;
    private long fencingNumber;

    /**
     * Times at which weight versions were requested. Holders keep them in the log, so that they
     * outlast a restart of all daemons.
     */
    public interface VersionDates {

        /** Returns the versions whose times this daemon knows. */
        List<LeaseTopic.RequestedVersion> known();

        /** Handles versions that a holder has written to the log. */
        void onRead(List<LeaseTopic.RequestedVersion> versions);
    }

    /**
     * Creates a lease that is not held.
     *
     * @param self name of this daemon
     * @param duration minimum time between the orders of two holders
     */
    public OrderLease(
            String self,
            LeaseTopic topic,
            VersionDates versionDates,
            Duration duration,
            InstantSource clock,
            DecisionLog log) {
        this.self = self;
        this.topic = topic;
        this.versionDates = versionDates;
        this.duration = duration;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Returns the fencing number if an order may be sent now, or empty. To be called again for each
     * order.
     */
    public OptionalLong usableFencingNumber() {
        boolean usable =
                fencingNumber > 0 && clock.instant().isBefore(renewedAt.plus(ORDER_WINDOW));
        return usable ? OptionalLong.of(fencingNumber) : OptionalLong.empty();
    }

    /** Returns the time for which orders may still be sent without another renewal. */
    public Duration usableFor() {
        Duration left = Duration.between(clock.instant(), renewedAt.plus(ORDER_WINDOW));
        return fencingNumber > 0 && !left.isNegative() ? left : Duration.ZERO;
    }

    /** Returns whether this daemon was the last holder, as far as it knows. */
    public boolean isHolder() {
        return fencingNumber > 0;
    }

    /** Gives up the lease, because a target has seen a higher fencing number. */
    public void onFenced() {
        log.write(
                DecisionKind.LEASE_CHANGED,
                NAME,
                () -> "fencing=" + fencingNumber,
                "lost: a target has seen a higher fencing number");
        fencingNumber = 0;
        tailKnown = false;
    }

    /**
     * Acquires or renews the lease if that is due; to be called often while there are orders to
     * send.
     */
    public void acquireOrRenew() {
        Instant now = clock.instant();
        if (storeCallPending) {
            return;
        }
        if (!tailKnown) {
            readTail(now);
            return;
        }
        if (isHeldBySelf()) {
            if (!now.isBefore(renewedAt.plus(RENEWAL_AGE))) {
                append(now, true);
            }
            return;
        }
        if (tail.newest().isEmpty() || canTakeOver(now)) {
            append(now, false);
        } else if (!now.isBefore(lastReadAt.plus(READ_INTERVAL))) {
            readTail(now);
        }
    }

    /**
     * Follows the log without acquiring the lease, so that this daemon can take over as soon as the
     * lease expires; to be called often by the daemon that is next in line.
     */
    public void watch() {
        Instant now = clock.instant();
        if (!storeCallPending && !now.isBefore(lastReadAt.plus(READ_INTERVAL))) {
            readTail(now);
        }
    }

    private boolean isHeldBySelf() {
        return fencingNumber > 0
                && tail.newest()
                        .map(
                                holding ->
                                        holding.holder().equals(self)
                                                && holding.fencingNumber() == fencingNumber)
                        .orElse(false);
    }

    /**
     * Returns whether an earlier run of this daemon holds the lease, or the holder has let it
     * expire.
     */
    private boolean canTakeOver(Instant now) {
        boolean lastHolderIsSelf =
                tail.newest().map(holding -> holding.holder().equals(self)).orElse(false);
        Duration wait = ORDER_WINDOW.plus(duration).plus(SAFETY_MARGIN);
        return lastHolderIsSelf || !now.isBefore(tailUnchangedSince.plus(wait));
    }

    private void readTail(Instant now) {
        storeCallPending = true;
        lastReadAt = now;
        topic.read()
                .whenComplete(
                        (read, failure) -> {
                            storeCallPending = false;
                            if (failure == null) {
                                onTailRead(read);
                            } else {
                                logFailure("lease log not read", failure);
                            }
                        });
    }

    private void onTailRead(LeaseTopic.Tail read) {
        if (!tailKnown || read.end() != tail.end()) {
            tailUnchangedSince = clock.instant();
        }
        tailKnown = true;
        tail = read;
        read.newest().ifPresent(holding -> versionDates.onRead(holding.versions()));
        if (fencingNumber > 0 && !isHeldBySelf()) {
            log.write(
                    DecisionKind.LEASE_CHANGED,
                    NAME,
                    () -> "fencing=" + fencingNumber + " newest=" + read.newest(),
                    "lost to another daemon");
            fencingNumber = 0;
        }
    }

    private void append(Instant now, boolean renewal) {
        storeCallPending = true;
        long end = tail.end();
        long number = renewal ? fencingNumber : end + 1;
        LeaseTopic.Holding holding = new LeaseTopic.Holding(self, number, versionDates.known());
        topic.append(holding, end)
                .whenComplete(
                        (newEnd, failure) -> {
                            storeCallPending = false;
                            if (failure != null) {
                                logFailure("append to lease log not confirmed", failure);
                            }
                            if (failure != null || newEnd.isEmpty()) {
                                tailKnown = false;
                                return;
                            }
                            confirm(holding, newEnd.getAsLong(), now, renewal);
                        });
    }

    private void logFailure(String outcome, Throwable failure) {
        log.write(
                DecisionKind.LEASE_CHANGED,
                NAME,
                () -> "fencing=" + fencingNumber + " " + failure,
                outcome);
    }

    private void confirm(LeaseTopic.Holding holding, long newEnd, Instant sentAt, boolean renewal) {
        tail = new LeaseTopic.Tail(Optional.of(holding), newEnd, tail.era());
        tailUnchangedSince = sentAt;
        fencingNumber = holding.fencingNumber();
        renewedAt = sentAt;
        if (!renewal) {
            log.write(
                    DecisionKind.LEASE_CHANGED,
                    NAME,
                    () -> "fencing=" + fencingNumber + " end=" + newEnd,
                    "acquired");
        }
    }
}
