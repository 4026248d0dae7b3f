package org.bergamothoist.core.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses the next peer to send to: a round over all peers in random order, then the next round in
 * another order. So each peer is reached within two rounds, and no two daemons choose alike.
 */
final class PeerSchedule {

    private final RandomGenerator random;
    private final List<String> round = new ArrayList<>();

    PeerSchedule(RandomGenerator random) {
        this.random = random;
    }

    /** Returns the next of the addresses, or null if there are none. */
    String next(Set<String> addresses) {
        while (!round.isEmpty()) {
            String address = round.remove(round.size() - 1);
            if (addresses.contains(address)) {
                return address;
            }
        }
        if (addresses.isEmpty()) {
            return null;
        }
        round.addAll(new HashSet<>(addresses));
        Collections.sort(round);
        Collections.shuffle(round, new Random(random.nextLong()));
        return round.remove(round.size() - 1);
    }
}
