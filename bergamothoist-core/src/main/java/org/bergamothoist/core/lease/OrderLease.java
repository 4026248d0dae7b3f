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
 * always at least the duration apart. The fencing number orders the era of the store before the
 * offset of the record that transferred the lease.
 *
 * <p>The store may come back from an older copy, which may lack the newest records. A holder then
 * stops, and every daemon counts the wait from its first read of the new era. All renewals of
 * earlier eras were confirmed before that read, so that the wait covers them too.
 *
 * <p>A holder may acquire the lease again without the wait, in any era, within the order window and
 * the duration after its last confirmed renewal: each other daemon has seen that renewal or a later
 * era after it, and waits longer than that. An append that is carried out late transfers no lease,
 * because its sender does not use it and its number, if it is of an earlier era, is not regarded.
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

    /** The same while there are no orders to send: a fraction of the wait that it begins. */
    private static final Duration OBSERVATION_INTERVAL = READ_INTERVAL.multipliedBy(5);

    /**
     * Fencing numbers of one era. Up to era 2^21 a number is also exact for readers of JSON that
     * take numbers for floating point.
     */
    private static final long NUMBERS_PER_ERA = 1L << 32;

    private static final String NAME = "order-lease";

    private final String self;
    private final LeaseTopic topic;
    private final VersionDates versionDates;
    private final Duration duration;
    private final InstantSource clock;
    private final DecisionLog log;

    private boolean storeCallPending;
    private boolean tailKnown;
    private LeaseTopic.Tail tail = new LeaseTopic.Tail(Optional.empty(), 0);
    private boolean tailRead;
    private long fallbacks;
    private Instant tailUnchangedSince = Instant.EPOCH;
    private Instant lastReadAt = Instant.EPOCH;
    private Instant renewedAt = Instant.EPOCH;

    /** Time before which no other daemon acquires the lease. */
    private Instant exclusiveUntil = Instant.EPOCH;

    private long fencingNumber;

    /** Highest number that was read or used. */
    private long highestNumber;

    /** Highest number that was known when the current era was first seen. */
    private long highestNumberOfEarlierEras;

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

    /**
     * Returns whether this daemon was the last holder, as far as it knows. A holder that has
     * stopped because the store has fallen back remains the last holder while it can acquire the
     * lease again at once.
     */
    public boolean isHolder() {
        return fencingNumber > 0 || clock.instant().isBefore(exclusiveUntil);
    }

    /** Gives up the lease, because a target has seen a higher fencing number. */
    public void onFenced() {
        logChange("", "lost: a target has seen a higher fencing number");
        fencingNumber = 0;
        exclusiveUntil = Instant.EPOCH;
        tailKnown = false;
    }

    /**
     * Gives up the lease and what was read, because the store has come back from an older copy.
     * Results of calls that began before are ignored.
     */
    public void onStoreFallback() {
        if (fencingNumber > 0) {
            logChange("", "lost: the store has come back from an older copy");
        }
        fallbacks++;
        fencingNumber = 0;
        highestNumberOfEarlierEras = highestNumber;
        tailKnown = false;
        tailRead = false;
        storeCallPending = false;
        lastReadAt = Instant.EPOCH;
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
        if (canAcquire(now)) {
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
        readTailIfDue(READ_INTERVAL);
    }

    /**
     * Reads the log if its end is not known, so that the wait for its last holder begins before
     * there are orders to send; to be called often by daemons that read the store.
     */
    public void observe() {
        if (!tailKnown) {
            readTailIfDue(OBSERVATION_INTERVAL);
        }
    }

    private void readTailIfDue(Duration interval) {
        Instant now = clock.instant();
        if (!storeCallPending && !now.isBefore(lastReadAt.plus(interval))) {
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
     * Returns whether there was no holder before, this daemon or an earlier run of it is the last
     * holder, or the last holder has let the lease expire.
     */
    private boolean canAcquire(Instant now) {
        Duration wait = ORDER_WINDOW.plus(duration).plus(SAFETY_MARGIN);
        if (!now.isBefore(tailUnchangedSince.plus(wait))) {
            return true;
        }
        Optional<LeaseTopic.Holding> holding = tail.newest().filter(this::isOfCurrentEra);
        if (holding.isPresent()) {
            return holding.get().holder().equals(self);
        }
        return now.isBefore(exclusiveUntil) || isFirstRecordOfStore();
    }

    /**
     * Returns whether a record was written in the era in which it was read, and neither came back
     * with the copy nor was appended by a call of an earlier era.
     */
    private boolean isOfCurrentEra(LeaseTopic.Holding holding) {
        long number = holding.fencingNumber();
        return number > highestNumberOfEarlierEras && number > tail.era() * NUMBERS_PER_ERA;
    }

    /** Returns whether the log is empty, and not because the store has lost its records. */
    private boolean isFirstRecordOfStore() {
        return tail.newest().isEmpty() && tail.era() == 0 && fallbacks == 0;
    }

    private void readTail(Instant now) {
        storeCallPending = true;
        lastReadAt = now;
        long fallbacksBefore = fallbacks;
        topic.read()
                .whenComplete(
                        (read, failure) -> {
                            if (fallbacks != fallbacksBefore) {
                                logChange("", "read of an earlier era not used");
                                return;
                            }
                            storeCallPending = false;
                            if (failure == null) {
                                onTailRead(read);
                            } else {
                                logFailure("lease log not read", failure);
                            }
                        });
    }

    private void onTailRead(LeaseTopic.Tail read) {
        if (tailRead && read.era() != tail.era()) {
            // StoreEra does not report the first announcement of an era as a fallback.
            onStoreFallback();
        }
        if (!tailKnown || read.end() != tail.end()) {
            tailUnchangedSince = clock.instant();
        }
        tailKnown = true;
        tailRead = true;
        tail = read;
        read.newest()
                .ifPresent(
                        holding -> {
                            highestNumber = Math.max(highestNumber, holding.fencingNumber());
                            versionDates.onRead(holding.versions());
                        });
        if (fencingNumber > 0 && !isHeldBySelf()) {
            logChange(" newest=" + read.newest(), "lost: the newest record is of another holder");
            fencingNumber = 0;
        }
    }

    private void append(Instant now, boolean renewal) {
        storeCallPending = true;
        long end = tail.end();
        long number = renewal ? fencingNumber : nextNumber();
        long fallbacksBefore = fallbacks;
        LeaseTopic.Holding holding = new LeaseTopic.Holding(self, number, versionDates.known());
        topic.append(holding, end)
                .whenComplete(
                        (newEnd, failure) -> {
                            if (fallbacks != fallbacksBefore) {
                                logChange("", "append of an earlier era not confirmed");
                                return;
                            }
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

    private long nextNumber() {
        return Math.max(tail.era() * NUMBERS_PER_ERA + tail.end() + 1, highestNumber + 1);
    }

    private void confirm(LeaseTopic.Holding holding, long newEnd, Instant sentAt, boolean renewal) {
        Optional<LeaseTopic.Holding> previous = tail.newest();
        tail = new LeaseTopic.Tail(Optional.of(holding), newEnd, tail.era());
        tailUnchangedSince = sentAt;
        fencingNumber = holding.fencingNumber();
        highestNumber = Math.max(highestNumber, fencingNumber);
        renewedAt = sentAt;
        exclusiveUntil = sentAt.plus(ORDER_WINDOW).plus(duration);
        if (!renewal) {
            logChange(previous.map(OrderLease::describe).orElse(""), "acquired");
        }
    }

    private static String describe(LeaseTopic.Holding previous) {
        return " after=" + previous.holder() + " fencing-before=" + previous.fencingNumber();
    }

    private void logFailure(String outcome, Throwable failure) {
        logChange(" " + failure, outcome);
    }

    private void logChange(String details, String outcome) {
        log.write(
                DecisionKind.LEASE_CHANGED,
                NAME,
                () ->
                        "fencing="
                                + fencingNumber
                                + " era="
                                + tail.era()
                                + " end="
                                + tail.end()
                                + details,
                outcome);
    }
}
