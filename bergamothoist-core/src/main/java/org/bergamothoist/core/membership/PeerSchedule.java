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
 * Selects the peer that receives a heartbeat in each time slot.
 *
 * <p>All daemons sort the addresses alike into a ring, and in a slot each daemon sends to the one
 * that is the same distance ahead of it. So each daemon also receives one heartbeat in each slot;
 * with independent random choices, some daemon of a large fleet would receive nothing for seconds.
 * The distances of a round are a permutation, so that each peer is reached once in a round. Clock
 * skew between daemons makes their choices independent, but each daemon still reaches every peer.
 */
final class PeerSchedule {

    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

    private final String self;
    private final double phase;
    private List<String> ring = List.of();
    private Set<String> knownAddresses = Set.of();
    private List<Integer> distances = List.of();
    private long shuffledRound = Long.MIN_VALUE;

    /**
     * Creates the schedule of one daemon.
     *
     * @param self peer address of this daemon
     * @param phase fraction of a slot, from 0 to 1, by which this daemon's slots are shifted;
     *     random, so that information can travel several hops within a slot
     */
    PeerSchedule(String self, double phase) {
        this.self = self;
        this.phase = phase;
    }

    /** Returns the number of the slot that contains the time. */
    long slot(Instant now, Duration length) {
        return Math.floorDiv(shiftedNanoseconds(now, length), length.toNanos());
    }

    /** Returns the time until the next slot. */
    Duration untilNextSlot(Instant now, Duration length) {
        long nanos = length.toNanos();
        return Duration.ofNanos(nanos - Math.floorMod(shiftedNanoseconds(now, length), nanos));
    }

    /**
     * Returns the peer for a slot, or null if there is no other address than this daemon's own. A
     * peer that is down is replaced by the one that it would itself send to in this slot.
     * Otherwise, after the loss of a data centre some daemons would receive no heartbeat for
     * seconds. If all are down, the scheduled peer is returned.
     */
    String peerFor(Set<String> addresses, long slot, Predicate<String> up) {
        if (!addresses.equals(knownAddresses)) {
            knownAddresses = Set.copyOf(addresses);
            Set<String> sorted = new TreeSet<>(addresses);
            sorted.add(self);
            ring = List.copyOf(sorted);
            shuffledRound = Long.MIN_VALUE;
        }
        int peers = ring.size() - 1;
        if (peers <= 0) {
            return null;
        }
        shuffleDistances(Math.floorDiv(slot, peers), peers);
        int distance = distances.get((int) Math.floorMod(slot, (long) peers));
        int own = ring.indexOf(self);
        int position = (own + distance) % ring.size();
        while (position != own) {
            if (up.test(ring.get(position))) {
                return ring.get(position);
            }
            position = (position + distance) % ring.size();
        }
        return ring.get((own + distance) % ring.size());
    }

    private void shuffleDistances(long round, int peers) {
        if (round == shuffledRound) {
            return;
        }
        shuffledRound = round;
        distances = new ArrayList<>();
        for (int distance = 1; distance <= peers; distance++) {
            distances.add(distance);
        }
        Collections.shuffle(distances, new Random(round * peers));
    }

    private long shiftedNanoseconds(Instant now, Duration length) {
        long nanos = now.getEpochSecond() * NANOSECONDS_PER_SECOND + now.getNano();
        return nanos - (long) (phase * length.toNanos());
    }
}
