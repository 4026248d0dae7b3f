package org.bergamothoist.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Chooses the peer to send to in each slot of time. All daemons sort the addresses alike, and in a
 * slot each daemon sends to the one that is the same distance behind it. So each daemon also
 * receives one heartbeat in each slot; with independent choices, some daemon of a large fleet would
 * hear nothing for seconds. The distances are a permutation for each round, so each peer is reached
 * once in a round. Clocks that differ make the choices independent, but not wrong.
 */
final class PeerSchedule {

    private static final long NANOSECONDS = 1_000_000_000L;

    private final String self;
    private final double phase;
    private List<String> order = List.of();
    private Set<String> knownAddresses = Set.of();
    private List<Integer> distances = List.of();
    private long permutedRound = Long.MIN_VALUE;

    /**
     * Creates the schedule of one daemon.
     *
     * @param phase part of a slot, from 0 to 1, by which its slots are shifted; random, so that
     *     information can take several hops within a slot
     */
    PeerSchedule(String self, double phase) {
        this.self = self;
        this.phase = phase;
    }

    /** Returns the number of the slot that the time falls into. */
    long slot(Instant now, Duration length) {
        return Math.floorDiv(shifted(now, length), length.toNanos());
    }

    /** Returns the time until the next slot. */
    Duration untilNextSlot(Instant now, Duration length) {
        long nanos = length.toNanos();
        return Duration.ofNanos(nanos - Math.floorMod(shifted(now, length), nanos));
    }

    /**
     * Returns the peer for a slot, or null if there are no addresses but the own one. In place of a
     * peer that is down, the one is chosen that would get that peer's heartbeat in this slot.
     * Without this, the loss of a data centre would leave some daemons without news for seconds.
     */
    String peer(Set<String> addresses, long slot, Predicate<String> up) {
        if (!addresses.equals(knownAddresses)) {
            knownAddresses = Set.copyOf(addresses);
            Set<String> sorted = new TreeSet<>(addresses);
            sorted.add(self);
            order = List.copyOf(sorted);
            permutedRound = Long.MIN_VALUE;
        }
        int peers = order.size() - 1;
        if (peers <= 0) {
            return null;
        }
        permute(Math.floorDiv(slot, peers), peers);
        int distance = distances.get((int) Math.floorMod(slot, (long) peers));
        int own = order.indexOf(self);
        int position = (own + distance) % order.size();
        while (position != own) {
            if (up.test(order.get(position))) {
                return order.get(position);
            }
            position = (position + distance) % order.size();
        }
        return order.get((own + distance) % order.size());
    }

    private void permute(long round, int peers) {
        if (round == permutedRound) {
            return;
        }
        permutedRound = round;
        distances = new ArrayList<>();
        for (int distance = 1; distance <= peers; distance++) {
            distances.add(distance);
        }
        Collections.shuffle(distances, new Random(round * peers));
    }

    private long shifted(Instant now, Duration length) {
        long nanos = now.getEpochSecond() * NANOSECONDS + now.getNano();
        return nanos - (long) (phase * length.toNanos());
    }
}
