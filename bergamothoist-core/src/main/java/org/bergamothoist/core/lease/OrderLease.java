package org.bergamothoist.core.lease;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.OptionalLong;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;

/**
 * Holds the right to order targets while there is something to order. Confined to the control
 * thread.
 *
 * <p>Each record of the log either renews the last holder's lease or takes it over. A holder orders
 * only within {@link #ORDER_WINDOW} of a renewal that the store has confirmed, counted from before
 * its append. Another daemon takes over after it has seen the log unchanged for that window and the
 * lease's duration, so that orders of two holders are always at least the duration apart. The
 * fencing number is the offset of the record that took the lease over, plus one.
 */
public final class OrderLease {

    /** Time after a renewal in which orders may be sent: a few calls to the store. */
    static final Duration ORDER_WINDOW = Duration.ofMillis(1_000);

    /** Age of a renewal at which the holder renews: half of the window leaves time for a retry. */
    private static final Duration RENEWAL_AGE = Duration.ofMillis(500);

    /** Allowance for the flight of an order and the drift of clocks. */
    private static final Duration MARGIN = Duration.ofMillis(300);

    /** Pause between looks at another holder's lease. */
    private static final Duration LOOK_INTERVAL = Duration.ofMillis(700);

    private static final String NAME = "order-lease";

    private final String self;
    private final LeaseTopic topic;
    private final Duration duration;
    private final InstantSource clock;
    private final DecisionLog log;

    private boolean calling;
    private boolean tailKnown;
    private LeaseTopic.Tail tail;
    private Instant tailSeenAt = Instant.EPOCH;
    private Instant lookedAt = Instant.EPOCH;
    private Instant renewedAt = Instant.EPOCH;
    private long fencingNumber;

    /**
     * Creates a lease that is not held.
     *
     * @param self name of this daemon
     * @param duration least time between the orders of two holders
     */
    public OrderLease(
            String self,
            LeaseTopic topic,
            Duration duration,
            InstantSource clock,
            DecisionLog log) {
        this.self = self;
        this.topic = topic;
        this.duration = duration;
        this.clock = clock;
        this.log = log;
    }

    /** Returns the fencing number if an order may be sent now; check it for each order. */
    public OptionalLong usableFencingNumber() {
        boolean usable =
                fencingNumber > 0 && clock.instant().isBefore(renewedAt.plus(ORDER_WINDOW));
        return usable ? OptionalLong.of(fencingNumber) : OptionalLong.empty();
    }

    /** Returns whether this daemon was the last known holder. */
    public boolean isHolder() {
        return fencingNumber > 0;
    }

    /** Notes that a target has seen a higher fencing number. */
    public void onFenced() {
        log.write(
                DecisionKind.LEASE_CHANGED,
                NAME,
                () -> "fencing=" + fencingNumber,
                "lost: a target has seen a higher fencing number");
        fencingNumber = 0;
        tailKnown = false;
    }

    /** Renews or takes over; call it often while there is something to order. */
    public void pursue() {
        Instant now = clock.instant();
        if (calling) {
            return;
        }
        if (!tailKnown) {
            look(now);
            return;
        }
        if (isOwn()) {
            if (!now.isBefore(renewedAt.plus(RENEWAL_AGE))) {
                append(now, true);
            }
            return;
        }
        if (tail.newest().isEmpty() || isLapsed(now)) {
            append(now, false);
        } else if (!now.isBefore(lookedAt.plus(LOOK_INTERVAL))) {
            look(now);
        }
    }

    private boolean isOwn() {
        return fencingNumber > 0
                && tail.newest()
                        .map(
                                holding ->
                                        holding.holder().equals(self)
                                                && holding.fencingNumber() == fencingNumber)
                        .orElse(false);
    }

    private boolean isLapsed(Instant now) {
        boolean formerSelf =
                tail.newest().map(holding -> holding.holder().equals(self)).orElse(false);
        Duration wait = ORDER_WINDOW.plus(duration).plus(MARGIN);
        return formerSelf || !now.isBefore(tailSeenAt.plus(wait));
    }

    private void look(Instant now) {
        calling = true;
        lookedAt = now;
        topic.read()
                .whenComplete(
                        (read, failure) -> {
                            calling = false;
                            if (failure == null) {
                                see(read);
                            } else {
                                noteFailure("not read", failure);
                            }
                        });
    }

    private void see(LeaseTopic.Tail read) {
        if (!tailKnown || read.end() != tail.end()) {
            tailSeenAt = clock.instant();
        }
        tailKnown = true;
        tail = read;
        if (fencingNumber > 0 && !isOwn()) {
            log.write(
                    DecisionKind.LEASE_CHANGED,
                    NAME,
                    () -> "fencing=" + fencingNumber + " newest=" + read.newest(),
                    "lost to another daemon");
            fencingNumber = 0;
        }
    }

    private void append(Instant now, boolean renewal) {
        calling = true;
        long end = tail.end();
        long number = renewal ? fencingNumber : end + 1;
        LeaseTopic.Holding holding = new LeaseTopic.Holding(self, number);
        topic.append(holding, end)
                .whenComplete(
                        (newEnd, failure) -> {
                            calling = false;
                            if (failure != null) {
                                noteFailure("append without an answer", failure);
                            }
                            if (failure != null || newEnd.isEmpty()) {
                                tailKnown = false;
                                return;
                            }
                            confirm(holding, newEnd.getAsLong(), now, renewal);
                        });
    }

    private void noteFailure(String outcome, Throwable failure) {
        log.write(
                DecisionKind.LEASE_CHANGED,
                NAME,
                () -> "fencing=" + fencingNumber + " " + failure,
                outcome);
    }

    private void confirm(LeaseTopic.Holding holding, long newEnd, Instant sentAt, boolean renewal) {
        tail = new LeaseTopic.Tail(Optional.of(holding), newEnd);
        tailSeenAt = sentAt;
        fencingNumber = holding.fencingNumber();
        renewedAt = sentAt;
        if (!renewal) {
            log.write(
                    DecisionKind.LEASE_CHANGED, NAME, () -> "fencing=" + fencingNumber, "acquired");
        }
    }
}
