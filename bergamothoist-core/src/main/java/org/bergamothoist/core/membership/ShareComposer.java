package org.bergamothoist.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntBiFunction;
import java.util.function.ToLongFunction;

/**
 * Chooses the entries of a map that fit into a heartbeat. Large entries are sent more often than
 * small ones, and each is sent sooner or later; an entry that has ended is sent once as zero.
 */
final class ShareComposer<K, V> {

    private final V zero;
    private final ToLongFunction<V> weight;
    private final ToIntBiFunction<K, V> size;
    private final Map<K, Sent> lastSent = new HashMap<>();
    private long round;

    private record Sent(long weight, long round) {}

    private record Candidate<K, V>(K key, V value, long urgency) {}

    /** Entries that fit, and whether they are all that there is. */
    record Share<K, V>(Map<K, V> entries, boolean complete, int bytes) {}

    ShareComposer(V zero, ToLongFunction<V> weight, ToIntBiFunction<K, V> size) {
        this.zero = zero;
        this.weight = weight;
        this.size = size;
    }

    /** Returns the most urgent entries that fit into the budget. */
    Share<K, V> compose(Map<K, V> current, int budget) {
        round++;
        List<Candidate<K, V>> candidates = candidates(current);
        Map<K, V> chosen = new LinkedHashMap<>();
        int bytes = 0;
        for (Candidate<K, V> candidate : candidates) {
            int next = size.applyAsInt(candidate.key, candidate.value);
            if (bytes + next > budget) {
                continue;
            }
            bytes += next;
            chosen.put(candidate.key, candidate.value);
            remember(candidate);
        }
        return new Share<>(chosen, chosen.size() == candidates.size(), bytes);
    }

    private List<Candidate<K, V>> candidates(Map<K, V> current) {
        List<Candidate<K, V>> candidates = new ArrayList<>();
        current.forEach((key, value) -> candidates.add(candidate(key, value)));
        for (K key : lastSent.keySet()) {
            if (!current.containsKey(key)) {
                candidates.add(candidate(key, zero));
            }
        }
        candidates.sort(Comparator.comparingLong((Candidate<K, V> one) -> one.urgency).reversed());
        return candidates;
    }

    private Candidate<K, V> candidate(K key, V value) {
        Sent sent = lastSent.getOrDefault(key, new Sent(0, round - 2));
        long larger = Math.max(weight.applyAsLong(value), sent.weight);
        return new Candidate<>(key, value, (larger + 1) * (round - sent.round));
    }

    private void remember(Candidate<K, V> candidate) {
        long sentWeight = weight.applyAsLong(candidate.value);
        if (sentWeight == 0) {
            lastSent.remove(candidate.key);
        } else {
            lastSent.put(candidate.key, new Sent(sentWeight, round));
        }
    }
}
