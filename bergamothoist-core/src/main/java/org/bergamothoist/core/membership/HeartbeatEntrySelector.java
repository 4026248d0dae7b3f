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
 * Selects the entries of a map that fit into a heartbeat. Entries with a large weight are sent more
 * often than others, but each is sent eventually. An entry that was removed from the map is sent
 * once as zero.
 */
final class HeartbeatEntrySelector<K, V> {

    private final V zero;
    private final ToLongFunction<V> weight;
    private final ToIntBiFunction<K, V> size;
    private final Map<K, Sent> lastSent = new HashMap<>();
    private long round;

    private record Sent(long weight, long round) {}

    private record Candidate<K, V>(K key, V value, long urgency) {}

    /**
     * The selected entries.
     *
     * @param complete whether no entry was left out
     * @param bytes upper bound of the entries' encoded size
     */
    record Selection<K, V>(Map<K, V> entries, boolean complete, int bytes) {}

    /**
     * Creates a selector.
     *
     * @param zero value sent for an entry that was removed
     * @param weight importance of a value, zero or positive
     * @param size upper bound of an entry's encoded size in bytes
     */
    HeartbeatEntrySelector(V zero, ToLongFunction<V> weight, ToIntBiFunction<K, V> size) {
        this.zero = zero;
        this.weight = weight;
        this.size = size;
    }

    /**
     * Returns the most urgent entries that fit into the budget in bytes. The urgency of an entry
     * grows with its current or last sent weight, whichever is larger, and with the number of
     * heartbeats since it was last sent.
     */
    Selection<K, V> select(Map<K, V> current, int budget) {
        round++;
        List<Candidate<K, V>> candidates = candidates(current);
        Map<K, V> chosen = new LinkedHashMap<>();
        int bytes = 0;
        for (Candidate<K, V> candidate : candidates) {
            int entryBytes = size.applyAsInt(candidate.key, candidate.value);
            if (bytes + entryBytes > budget) {
                continue;
            }
            bytes += entryBytes;
            chosen.put(candidate.key, candidate.value);
            recordSent(candidate);
        }
        return new Selection<>(chosen, chosen.size() == candidates.size(), bytes);
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
        long largerWeight = Math.max(weight.applyAsLong(value), sent.weight);
        return new Candidate<>(key, value, (largerWeight + 1) * (round - sent.round));
    }

    private void recordSent(Candidate<K, V> candidate) {
        long sentWeight = weight.applyAsLong(candidate.value);
        if (sentWeight == 0) {
            lastSent.remove(candidate.key);
        } else {
            lastSent.put(candidate.key, new Sent(sentWeight, round));
        }
    }
}
