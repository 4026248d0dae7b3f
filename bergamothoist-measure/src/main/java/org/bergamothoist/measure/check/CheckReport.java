package org.bergamothoist.measure.check;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What randomised runs have found.
 *
 * @param seed seed of the first run; run i has the seed plus i
 * @param steps tasks that were run on the virtual clock
 * @param counts faults by kind, requests by outcome and other observations, by name
 * @param digest hash of all observations; equal for equal seeds and code
 */
public record CheckReport(
        long seed,
        int runs,
        long steps,
        List<Violation> violations,
        SortedMap<String, Long> counts,
        String digest) {

    public CheckReport {
        violations = List.copyOf(violations);
        counts = Collections.unmodifiableSortedMap(new TreeMap<>(counts));
    }

    /** Returns a count, 0 if it was never made. */
    public long count(String name) {
        return ((Map<String, Long>) counts).getOrDefault(name, 0L);
    }
}
