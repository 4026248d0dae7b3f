package org.bergamothoist.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What must hold of orders, and the violations of all invariants that a run has found. */
final class StoreFallbackInvariants {

    /** Minimum time between the orders of two holders. */
    static final Duration LEASE = Duration.ofSeconds(3);

    private static final int TRACE_LINES = 40;

    private final List<String> trace;
    private final Map<Kind, String> violations = new EnumMap<>(Kind.class);
    private List<String> traceBefore = List.of();
    private final Map<Long, String> holders = new HashMap<>();
    private final Map<String, Instant> lastOrders = new HashMap<>();
    private final Map<String, Long> fallbacksOfNumbers = new HashMap<>();
    private long highestNumber;
    private int orders;

    /** What can be violated. */
    enum Kind {
        /** Two daemons send orders under one number. */
        NUMBER_SHARED,
        /** An order has a lower number than one sent before. */
        NUMBER_FELL,
        /** Orders of two holders are less than the lease's duration apart. */
        HOLDERS_TOO_CLOSE,
        /** A daemon that knows of a later era sends under a number of an earlier one. */
        EARLIER_HOLDER_GOES_ON,
        /** A record in the store is unseen for longer than the read interval. */
        RECORD_UNSEEN,
        /** A daemon goes back to an earlier version of the configuration or of weights. */
        VERSION_WENT_BACK,
        /** A daemon goes back to an earlier registration of a target. */
        REGISTRATION_WENT_BACK,
        /** The records that a daemon tells others go back to an earlier registration. */
        REPLICA_WENT_BACK,
        /** A daemon does not use a live target that it knew. */
        TARGET_LOST
    }

    /**
     * Creates the invariants of a run.
     *
     * @param trace what has happened until now
     */
    StoreFallbackInvariants(List<String> trace) {
        this.trace = trace;
    }

    /**
     * Records an order that is sent now.
     *
     * @param run identifies the run of the daemon
     * @param fallbacks number of fallbacks that the daemon knows of
     */
    void onOrder(Instant now, String daemon, String run, long number, long fallbacks) {
        orders++;
        String holder = holders.putIfAbsent(number, daemon);
        if (holder != null && !holder.equals(daemon)) {
            report(Kind.NUMBER_SHARED, now, daemon + " and " + holder + " send under " + number);
        }
        if (number < highestNumber) {
            report(Kind.NUMBER_FELL, now, daemon + ": " + number + " after " + highestNumber);
        }
        highestNumber = Math.max(highestNumber, number);
        lastOrders.forEach(
                (other, last) -> {
                    Duration apart = Duration.between(last, now);
                    if (!other.equals(daemon) && apart.compareTo(LEASE) < 0) {
                        report(
                                Kind.HOLDERS_TOO_CLOSE,
                                now,
                                daemon + " sends " + apart + " after " + other);
                    }
                });
        lastOrders.put(daemon, now);
        Long fallbacksBefore = fallbacksOfNumbers.putIfAbsent(run + " " + number, fallbacks);
        if (fallbacksBefore != null && fallbacksBefore != fallbacks) {
            report(Kind.EARLIER_HOLDER_GOES_ON, now, daemon + " sends under " + number);
        }
    }

    /** Records a violation; the first one of each kind is kept. */
    void report(Kind kind, Instant now, String description) {
        if (violations.isEmpty()) {
            int from = Math.max(0, trace.size() - TRACE_LINES);
            traceBefore = List.copyOf(trace.subList(from, trace.size()));
        }
        violations.putIfAbsent(kind, now + " " + description);
    }

    /** Returns what happened before the first violation. */
    List<String> traceBefore() {
        return traceBefore;
    }

    Map<Kind, String> violations() {
        return violations;
    }

    int orders() {
        return orders;
    }

    int holders() {
        return lastOrders.size();
    }
}
